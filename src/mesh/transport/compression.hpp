#pragma once

// Long words of the mesh's own session, made short for thin links: a configuration of a thousand routes is
// half a megabyte that repeats itself. It owns what it packed last, as the same word goes to many; it must
// never take more bytes out of a packed word than that word said beforehand.

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace rackroute::mesh {

/// Whether a word is worth packing at all.
[[nodiscard]] bool worthPacking(const std::string& word);

class Compressor {
 public:
  /// The packed form, made once for all to whom the same word is said; shared, so that none copies it.
  std::shared_ptr<const std::string> packed(const std::shared_ptr<const std::string>& word);

 private:
  struct Kept {
    std::weak_ptr<const std::string> word;  // gone: nobody can ask for it any more
    std::weak_ptr<const std::string> packed;
  };
  std::map<const std::string*, Kept> kept_;
};

/// Throws std::bad_alloc only; nothing where it does not come out as exactly so many bytes.
std::optional<std::string> unpacked(std::string_view packed, std::size_t bytes);

}  // namespace rackroute::mesh
