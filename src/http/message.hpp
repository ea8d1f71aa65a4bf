#pragma once

// Reads HTTP/1.1 messages out of bytes as they come: heads in place, bodies by length or chunked. It owns no
// bytes but a chunked body's, knows neither sockets nor use cases, and must never accept a message whose end
// two readers could see at different places.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rackroute::http {

enum class Progress { more, done, malformed, headTooLong, bodyTooLong };

constexpr std::size_t kLongestHead = 16 * 1024;     // bytes; far above what any head here needs
constexpr std::size_t kLongestBody = 64 * 1024;     // bytes; of a message that is read whole
constexpr std::size_t kLongestStreamed = 48 << 20;  // bytes; half again what operators let bodies reach

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
  [[nodiscard]] const std::vector<Field>& fields() const { return fields_; }
  [[nodiscard]] std::optional<std::string_view> field(std::string_view name) const;
  [[nodiscard]] std::size_t count(std::string_view name) const;
  [[nodiscard]] std::string_view body() const { return apart_ ? unchunked_ : text(body_); }
  /// Gives a head the body that was read apart from it.
  void giveBody(std::string body) {
    unchunked_ = std::move(body);
    apart_ = true;
  }
  /// The body's length as the head tells it.
  [[nodiscard]] std::optional<std::size_t> length() const { return length_; }
  [[nodiscard]] std::uint32_t status() const { return status_; }
  /// Whether the sender keeps the connection open after this message.
  [[nodiscard]] bool keepsOpen() const { return endsOpen(bytes_); }
  [[nodiscard]] bool chunked() const { return chunked_; }
  /// The fields to pass on: all but those of this one connection, of the framing, and of this name. Whole
  /// lines, neighbours joined.
  [[nodiscard]] std::vector<std::string_view> endToEnd(std::string_view but = {}) const;

 private:
  friend class Reader;
  [[nodiscard]] bool endsOpen(std::string_view head) const;

  std::string bytes_;
  Part words_[3];
  std::vector<Field> fields_;
  Part body_;
  std::string unchunked_;
  std::optional<std::size_t> length_;
  std::uint32_t status_ = 0;
  bool chunked_ = false;
  bool apart_ = false;  // the body does not stand in the bytes
};

bool sameName(std::string_view a, std::string_view b);  // names of fields know no case

/// The line ahead of a chunk of so many bytes.
std::string chunkHead(std::size_t size);

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

/// A body that is read apart from its head, as it comes: by length, by chunks, or until the connection ends.
class Body {
 public:
  Body() = default;
  Body(const Message& head, Reader::Kind kind, std::size_t longest);

  /// Moves what has come out of the buffer, and appends its data.
  Progress read(std::string& in, std::string& out);
  /// Whether the peer's orderly end is this body's.
  [[nodiscard]] bool untilClose() const { return how_ == How::untilClose; }

 private:
  enum class How { length, chunked, untilClose } how_ = How::length;
  Chunks chunks_;
  std::size_t left_ = 0;
  std::size_t total_ = 0;
  std::size_t longest_ = 0;
};

}  // namespace rackroute::http
