#pragma once

// What is still to be written to one connection: pieces that stand where they were read or made, for one
// gathered write. It keeps alive whatever a piece points into, and must never copy a body.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace rackroute::http {

class Gather {
 public:
  /// A piece that somebody else keeps; see keep().
  void view(std::string_view piece) {
    if (!piece.empty()) pieces_.push_back(piece);
  }
  void text(std::string piece) {
    if (piece.empty()) return;
    pieces_.emplace_back(*texts_.emplace_back(std::make_unique<const std::string>(std::move(piece))));
  }
  void keep(std::shared_ptr<const void> owner) { owners_.push_back(std::move(owner)); }
  void append(Gather other) {
    for (const std::string_view piece : other.pieces_) pieces_.push_back(piece);
    for (auto& text : other.texts_) texts_.push_back(std::move(text));
    for (auto& owner : other.owners_) owners_.push_back(std::move(owner));
  }

  [[nodiscard]] const std::deque<std::string_view>& pieces() const { return pieces_; }
  [[nodiscard]] bool empty() const { return pieces_.empty(); }
  [[nodiscard]] std::size_t size() const {
    std::size_t all = 0;
    for (const std::string_view piece : pieces_) all += piece.size();
    return all;
  }
  void written(std::size_t bytes) {
    while (bytes > 0 && !pieces_.empty()) {
      const std::size_t here = std::min(bytes, pieces_.front().size());
      pieces_.front().remove_prefix(here);
      bytes -= here;
      if (!pieces_.front().empty()) continue;
      // Its bytes go with it: a long answer to a slow reader never has all of them at once.
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
