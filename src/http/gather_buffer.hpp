#pragma once

// The pending output of a connection, as pieces for a gathered write. Bodies are referenced in place, never
// copied; the buffer keeps the owners of referenced bytes alive.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace rackroute::http {

/// A queue of byte pieces for gathered writes.
class GatherBuffer {
 public:
  /// Appends a piece owned by the caller; see keep().
  void view(std::string_view piece) {
    if (!piece.empty()) pieces_.push_back(piece);
  }
  /// Appends a piece owned by the buffer.
  void text(std::string piece) {
    if (piece.empty()) return;
    pieces_.emplace_back(*texts_.emplace_back(std::make_unique<const std::string>(std::move(piece))));
  }
  /// Keeps the owner of viewed pieces alive until everything has been written.
  void keep(std::shared_ptr<const void> owner) { owners_.push_back(std::move(owner)); }
  void append(GatherBuffer other) {
    for (const std::string_view piece : other.pieces_) pieces_.push_back(piece);
    for (auto& text : other.texts_) texts_.push_back(std::move(text));
    for (auto& owner : other.owners_) owners_.push_back(std::move(owner));
  }

  [[nodiscard]] const std::deque<std::string_view>& pieces() const { return pieces_; }
  [[nodiscard]] bool empty() const { return pieces_.empty(); }
  [[nodiscard]] std::size_t size() const {
    std::size_t total = 0;
    for (const std::string_view piece : pieces_) total += piece.size();
    return total;
  }
  /// Removes bytes from the front after they were written.
  void written(std::size_t bytes) {
    while (bytes > 0 && !pieces_.empty()) {
      const std::size_t consumed = std::min(bytes, pieces_.front().size());
      pieces_.front().remove_prefix(consumed);
      bytes -= consumed;
      if (!pieces_.front().empty()) continue;
      // Free an owned piece once it is written, so that a long response to a slow reader doesn't accumulate.
      if (!texts_.empty() && ends(pieces_.front(), *texts_.front())) texts_.pop_front();
      pieces_.pop_front();
    }
    if (!pieces_.empty()) return;
    texts_.clear();
    owners_.clear();
  }

 private:
  static bool ends(std::string_view piece, const std::string& text) {
    return piece.data() == text.data() + text.size();
  }

  std::deque<std::string_view> pieces_;
  std::deque<std::unique_ptr<const std::string>> texts_;
  std::deque<std::shared_ptr<const void>> owners_;
};

}  // namespace rackroute::http
