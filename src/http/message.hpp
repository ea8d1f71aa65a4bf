#pragma once

// Incremental HTTP/1.1 parser. Heads are parsed in place; bodies are delimited by length, chunks or the end
// of the connection. Rejects messages whose end two parsers could determine differently (request smuggling).

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rackroute::http {

/// done: a message is complete; needMore: it needs further input; otherwise it was rejected.
enum class ParseStatus { needMore, done, malformed, headTooLong, bodyTooLong };

constexpr std::size_t kMaxHeadBytes = 16 * 1024;         // bytes of a start line and its header fields
constexpr std::size_t kMaxBodyBytes = 64 * 1024;         // bytes of a body that is buffered
constexpr std::size_t kMaxStreamedBodyBytes = 48 << 20;  // bytes of a body that is streamed

/// A range of the message's bytes, by offset, as the buffer may be reallocated.
struct ByteRange {
  std::uint32_t offset = 0;
  std::uint32_t size = 0;
};

/// A header field.
struct Field {
  ByteRange name;
  ByteRange value;
};

/// A parsed message, together with its bytes.
class Message {
 public:
  [[nodiscard]] std::string_view text(ByteRange range) const {
    return std::string_view(bytes_).substr(range.offset, range.size);
  }
  /// Parts of the start line: method, target, version; or version, status, reason.
  [[nodiscard]] std::string_view startLinePart(std::size_t at) const { return text(startLine_[at]); }
  [[nodiscard]] const std::vector<Field>& fields() const { return fields_; }
  /// The value of the first field of this name.
  [[nodiscard]] std::optional<std::string_view> field(std::string_view name) const;
  /// The number of fields of this name.
  [[nodiscard]] std::size_t count(std::string_view name) const;
  [[nodiscard]] std::string_view body() const { return bodyDetached_ ? decodedBody_ : text(body_); }
  /// Attaches a body that was read separately from the head.
  void setBody(std::string body) {
    decodedBody_ = std::move(body);
    bodyDetached_ = true;
  }
  /// The value of Content-Length, if present.
  [[nodiscard]] std::optional<std::size_t> length() const { return length_; }
  [[nodiscard]] std::uint32_t status() const { return status_; }
  /// Whether the sender keeps the connection open after this message.
  [[nodiscard]] bool keepsAlive() const { return keepsAliveAfter(bytes_); }
  [[nodiscard]] bool chunked() const { return chunked_; }
  /// The fields to forward: all but hop-by-hop and framing fields and the excluded one. Returned as lines,
  /// with adjacent lines joined.
  [[nodiscard]] std::vector<std::string_view> endToEndFields(std::string_view excluded = {}) const;

 private:
  friend class Reader;
  [[nodiscard]] bool keepsAliveAfter(std::string_view head) const;

  std::string bytes_;
  ByteRange startLine_[3];
  std::vector<Field> fields_;
  ByteRange body_;
  std::string decodedBody_;
  std::optional<std::size_t> length_;
  std::uint32_t status_ = 0;
  bool chunked_ = false;
  bool bodyDetached_ = false;  // the body is in decodedBody_ instead of bytes_
};

/// Compares names of fields, ignoring ASCII case.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// The size line of a chunk.
std::string chunkHeader(std::size_t size);

/// Incremental decoder of the chunked transfer encoding.
class ChunkDecoder {
 public:
  /// Appends decoded data to out and sets consumed to the bytes of raw that need not be passed again. Fails
  /// if out would exceed maxBytes.
  ParseStatus read(std::string_view raw, std::size_t& consumed, std::string& out, std::size_t maxBytes);

 private:
  enum class State { size, data, dataEnd, trailer } state_ = State::size;
  std::size_t remaining_ = 0;
};

/// Reads consecutive messages from a growing buffer.
class Reader {
 public:
  enum class Kind { request, response };
  explicit Reader(Kind kind, std::size_t maxBodyBytes = kMaxBodyBytes)
      : kind_(kind), maxBodyBytes_(maxBodyBytes) {}

  /// Call after bytes were appended. After done, take() returns the message; after an error, don't read
  /// again.
  ParseStatus read(std::string& in);
  /// Moves the message out of the buffer, leaving the bytes after it, and resets the reader.
  Message take(std::string& in);
  /// Reads only the head, for streamed bodies; takeHead() leaves the body's bytes in the buffer.
  ParseStatus readHead(std::string& in);
  Message takeHead(std::string& in);
  /// Whether a message has started to arrive.
  [[nodiscard]] bool hasInput(const std::string& in) const { return headEnd_ > 0 || !in.empty(); }

 private:
  ParseStatus readFraming(std::string_view head);

  Kind kind_;
  std::size_t maxBodyBytes_;
  Message message_;
  ChunkDecoder chunkDecoder_;
  std::size_t scanned_ = 0;
  std::size_t headEnd_ = 0;
  std::size_t length_ = 0;
  std::size_t end_ = 0;
};

/// Reads a body incrementally after its head: by length, by chunks, or until the connection is closed.
class BodyReader {
 public:
  BodyReader() = default;
  BodyReader(const Message& head, Reader::Kind kind, std::size_t maxBytes);

  /// Consumes input and appends the decoded data to out.
  ParseStatus read(std::string& in, std::string& out);
  /// Whether the body ends when the peer closes the connection.
  [[nodiscard]] bool untilClose() const { return framing_ == Framing::untilClose; }

 private:
  enum class Framing { length, chunked, untilClose } framing_ = Framing::length;
  ChunkDecoder chunkDecoder_;
  std::size_t remaining_ = 0;
  std::size_t total_ = 0;
  std::size_t maxBytes_ = 0;
};

}  // namespace rackroute::http
