#include "mesh/transport/compression.hpp"

#include <zlib.h>

#include <utility>

namespace rackroute::mesh {
namespace {

constexpr std::size_t kMinSize = 4096;  // bytes; smaller messages fit a few packets as they are
constexpr int kLevel = 3;  // of zlib; the next levels take twice the time for a tenth of the bytes

}  // namespace

bool shouldCompress(const std::string& message) { return message.size() >= kMinSize; }

std::shared_ptr<const std::string> Compressor::compress(const std::shared_ptr<const std::string>& message) {
  const auto found = cache_.find(message.get());
  if (found != cache_.end() && found->second.message.lock() == message) {
    if (auto result = found->second.compressed.lock()) return result;
  }
  for (auto at = cache_.begin(); at != cache_.end();)
    at = at->second.message.expired() ? cache_.erase(at) : std::next(at);
  uLongf size = ::compressBound(message->size());
  auto result = std::make_shared<std::string>(size, '\0');
  if (::compress2(reinterpret_cast<Bytef*>(result->data()), &size,
                  reinterpret_cast<const Bytef*>(message->data()), message->size(), kLevel) != Z_OK)
    return nullptr;
  result->resize(size);
  result->shrink_to_fit();
  cache_[message.get()] = {message, result};
  return result;
}

std::optional<std::string> decompress(std::string_view compressed, std::size_t size) {
  std::string message(size, '\0');
  uLongf actual = size;
  const int end = ::uncompress(reinterpret_cast<Bytef*>(message.data()), &actual,
                               reinterpret_cast<const Bytef*>(compressed.data()), compressed.size());
  if (end != Z_OK || actual != size) return std::nullopt;
  return message;
}

}  // namespace rackroute::mesh
