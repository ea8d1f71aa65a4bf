#include "mesh/transport/compression.hpp"

#include <zlib.h>

#include <utility>

namespace rackroute::mesh {
namespace {

constexpr std::size_t kWorth = 4096;  // bytes; shorter words fit a few packets as they are
constexpr int kEffort = 3;            // of 9; the next steps cost twice the time for a tenth of the bytes

}  // namespace

bool worthPacking(const std::string& word) { return word.size() >= kWorth; }

std::shared_ptr<const std::string> Compressor::packed(const std::shared_ptr<const std::string>& word) {
  const auto found = kept_.find(word.get());
  if (found != kept_.end() && found->second.word.lock() == word) {
    if (auto made = found->second.packed.lock()) return made;
  }
  for (auto at = kept_.begin(); at != kept_.end();)
    at = at->second.word.expired() ? kept_.erase(at) : std::next(at);
  uLongf size = ::compressBound(word->size());
  auto made = std::make_shared<std::string>(size, '\0');
  if (::compress2(reinterpret_cast<Bytef*>(made->data()), &size, reinterpret_cast<const Bytef*>(word->data()),
                  word->size(), kEffort) != Z_OK)
    return nullptr;
  made->resize(size);
  made->shrink_to_fit();
  kept_[word.get()] = {word, made};
  return made;
}

std::optional<std::string> unpacked(std::string_view packed, std::size_t bytes) {
  std::string word(bytes, '\0');
  uLongf size = bytes;
  const int end = ::uncompress(reinterpret_cast<Bytef*>(word.data()), &size,
                               reinterpret_cast<const Bytef*>(packed.data()), packed.size());
  if (end != Z_OK || size != bytes) return std::nullopt;
  return word;
}

}  // namespace rackroute::mesh
