#include "mesh/storage/manifest_tail.hpp"

#include <boost/crc.hpp>
#include <cstdint>

namespace rackroute::mesh {
namespace {

constexpr std::size_t kBlock = 32768;
constexpr std::size_t kHeader = 7;      // checksum, length, type
constexpr std::size_t kLengthAt = 4;    // in the header; two bytes
constexpr std::size_t kChecksumAt = 6;  // the checksum covers the type and the data
constexpr std::uint32_t kMaskDelta = 0xa282ead8;

using Crc32c = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

std::uint32_t littleEndian(std::string_view bytes) {
  std::uint32_t number = 0;
  for (std::size_t i = bytes.size(); i-- > 0;) number = number << 8 | static_cast<unsigned char>(bytes[i]);
  return number;
}

std::uint32_t maskedChecksumOf(std::string_view bytes) {
  Crc32c crc;
  crc.process_bytes(bytes.data(), bytes.size());
  const std::uint32_t checksum = crc.checksum();
  return (checksum >> 15 | checksum << 17) + kMaskDelta;
}

/// Size of the complete record at the start of the block; 0: there is none.
std::size_t recordSize(std::string_view block) {
  if (block.size() < kHeader) return 0;
  const std::size_t size = kHeader + littleEndian(block.substr(kLengthAt, 2));
  if (size > block.size()) return 0;
  const std::uint32_t stored = littleEndian(block.substr(0, kLengthAt));
  return stored == maskedChecksumOf(block.substr(kChecksumAt, size - kChecksumAt)) ? size : 0;
}

}  // namespace

std::size_t readableManifestSize(std::string_view manifest) {
  std::size_t readable = 0;
  bool torn = false;
  for (std::size_t start = 0; start < manifest.size(); start += kBlock) {
    const std::string_view block = manifest.substr(start, kBlock);
    std::size_t at = 0;
    while (const std::size_t size = recordSize(block.substr(at))) at += size;
    if (torn && at > 0) return manifest.size();
    if (!torn) readable = start + at;
    // The end of a block that is too short for a header is unused.
    torn = torn || block.size() - at >= kHeader;
  }
  return readable;
}

}  // namespace rackroute::mesh
