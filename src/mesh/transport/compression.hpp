#pragma once

// Compresses large messages of mesh sessions, such as configurations with many routes. Caches the compressed
// form while a message is sent to several peers. Decompression never produces more bytes than announced.

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace rackroute::mesh {

/// Whether a message is large enough to be compressed.
[[nodiscard]] bool shouldCompress(const std::string& message);

class Compressor {
 public:
  /// Returns the compressed message, shared by all recipients of the same message; nullptr on failure.
  std::shared_ptr<const std::string> compress(const std::shared_ptr<const std::string>& message);

 private:
  struct Entry {
    std::weak_ptr<const std::string> message;  // expired: the entry is no longer needed
    std::weak_ptr<const std::string> compressed;
  };
  std::map<const std::string*, Entry> cache_;
};

/// Returns nullopt unless the result has exactly `size` bytes. Throws only std::bad_alloc.
std::optional<std::string> decompress(std::string_view compressed, std::size_t size);

}  // namespace rackroute::mesh
