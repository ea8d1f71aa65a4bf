#pragma once

// Reads HTTP/1.1 messages out of bytes as they come: heads in place, bodies by length or chunked. It owns no
// bytes but a chunked body's, knows neither sockets nor use cases, and must never accept a message whose end
// two readers could see at different places.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rackroute::http {

enum class Progress { more, done, malformed, headTooLong, bodyTooLong };

constexpr std::size_t kLongestHead = 16 * 1024;  // bytes; far above what any head here needs
constexpr std::size_t kLongestBody = 64 * 1024;  // bytes; the protocol's bound

struct Part {  // a place in the message's bytes, which may move while they grow
  std::uint32_t from = 0;
  std::uint32_t size = 0;
};

struct Field {
  Part name;
  Part value;
};

/// A whole message, together with its bytes.
class Message {
 public:
  [[nodiscard]] std::string_view text(Part part) const {
    return std::string_view(bytes_).substr(part.from, part.size);
  }
  /// The first line's words: method, target, version; or version, status, reason.
  [[nodiscard]] std::string_view word(std::size_t at) const { return text(words_[at]); }
  /// A query's method and target, as they stand.
  [[nodiscard]] std::string_view start() const { return text({0, words_[1].from + words_[1].size}); }
  [[nodiscard]] const std::vector<Field>& fields() const { return fields_; }
  [[nodiscard]] std::optional<std::string_view> field(std::string_view name) const;
  [[nodiscard]] std::size_t count(std::string_view name) const;
  [[nodiscard]] std::string_view body() const { return chunked_ ? unchunked_ : text(body_); }
  [[nodiscard]] std::uint32_t status() const { return status_; }
  /// Whether the sender keeps the connection open after this message.
  [[nodiscard]] bool keepsOpen() const;
  [[nodiscard]] bool chunked() const { return chunked_; }
  /// The fields to pass on: all but those of this one connection, of the framing, and of this name. Whole
  /// lines, neighbours joined.
  [[nodiscard]] std::vector<std::string_view> endToEnd(std::string_view but = {}) const;

 private:
  friend class Reader;
  std::string bytes_;
  Part words_[3];
  std::vector<Field> fields_;
  Part body_;
  std::string unchunked_;
  std::uint32_t status_ = 0;
  bool chunked_ = false;
};

bool sameName(std::string_view a, std::string_view b);  // names of fields know no case

/// Takes chunks apart, however the bytes are split.
class Chunks {
 public:
  /// Appends the data of the chunks to out and tells in used how many bytes of raw need not be shown again.
  Progress read(std::string_view raw, std::size_t& used, std::string& out, std::size_t longest);

 private:
  enum class At { size, data, dataEnd, trailer } at_ = At::size;
  std::size_t left_ = 0;
};

/// Reads one message after another out of a growing buffer.
class Reader {
 public:
  enum class Kind { query, answer };
  explicit Reader(Kind kind, std::size_t longestBody = kLongestBody)
      : kind_(kind), longestBody_(longestBody) {}

  /// To be called when bytes were added. Done: take() has the message. Anything but more: no further reads.
  Progress read(std::string& in);
  /// Moves the message out of the buffer, which keeps what follows it, and starts anew.
  Message take(std::string& in);
  /// The head alone, for a body that never ends; takeHead() leaves the body's bytes in the buffer.
  Progress readHead(std::string& in);
  Message takeHead(std::string& in);
  [[nodiscard]] bool begun(const std::string& in) const { return headEnd_ > 0 || !in.empty(); }

 private:
  Progress readFraming(std::string_view head);

  Kind kind_;
  std::size_t longestBody_;
  Message message_;
  Chunks chunks_;
  std::size_t scanned_ = 0;
  std::size_t headEnd_ = 0;
  std::size_t length_ = 0;
  std::size_t end_ = 0;
};

}  // namespace rackroute::http
