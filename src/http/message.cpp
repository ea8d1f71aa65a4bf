#include "http/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace rackroute::http {
namespace {

constexpr std::size_t kMaxLineBytes = 256;  // of a chunk's size line or a trailer field

bool isTokenChar(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), isTokenChar);
}

bool isPrintable(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7f;
  });
}

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

template <class Call>
void forEachListItem(std::string_view list, Call call) {
  while (!list.empty()) {
    std::string_view item = list.substr(0, list.find(','));
    list.remove_prefix(std::min(list.size(), item.size() + 1));
    while (!item.empty() && (item.front() == ' ' || item.front() == '\t')) item.remove_prefix(1);
    while (!item.empty() && (item.back() == ' ' || item.back() == '\t')) item.remove_suffix(1);
    call(item);
  }
}

}  // namespace

bool equalsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

std::optional<std::string_view> Message::field(std::string_view name) const {
  for (const Field& field : fields_) {
    if (equalsIgnoreCase(text(field.name), name)) return text(field.value);
  }
  return std::nullopt;
}

std::size_t Message::count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(fields_.begin(), fields_.end(), [&](const Field& field) {
    return equalsIgnoreCase(text(field.name), name);
  }));
}

bool Message::keepsAliveAfter(std::string_view head) const {
  const auto at = [&](ByteRange range) { return head.substr(range.offset, range.size); };
  bool keepAlive = at(startLine_[status_ == 0 ? 2 : 0]) != "HTTP/1.0";
  for (const Field& field : fields_) {
    if (!equalsIgnoreCase(at(field.name), "Connection")) continue;
    forEachListItem(at(field.value), [&](std::string_view option) {
      keepAlive = keepAlive && !equalsIgnoreCase(option, "close");
    });
  }
  return keepAlive;
}

std::vector<std::string_view> Message::endToEndFields(std::string_view excluded) const {
  constexpr std::array<std::string_view, 9> kHopByHop = {"Connection", "Keep-Alive", "Proxy-Connection",
                                                         "TE",         "Trailer",    "Transfer-Encoding",
                                                         "Upgrade",    "Expect",     "Content-Length"};
  std::vector<std::string_view> lines;
  for (const Field& field : fields_) {
    const std::string_view name = text(field.name);
    bool dropped = equalsIgnoreCase(name, excluded) ||
                   std::any_of(kHopByHop.begin(), kHopByHop.end(),
                               [&](std::string_view o) { return equalsIgnoreCase(o, name); });
    for (const Field& other : fields_) {
      if (!equalsIgnoreCase(text(other.name), "Connection")) continue;
      forEachListItem(text(other.value),
                      [&](std::string_view option) { dropped = dropped || equalsIgnoreCase(option, name); });
    }
    if (dropped) continue;
    const std::size_t end = bytes_.find("\r\n", field.value.offset + field.value.size) + 2;
    const std::string_view line = std::string_view(bytes_).substr(field.name.offset, end - field.name.offset);
    if (!lines.empty() && lines.back().data() + lines.back().size() == line.data()) {
      lines.back() = {lines.back().data(), lines.back().size() + line.size()};
    } else {
      lines.push_back(line);
    }
  }
  return lines;
}

std::string chunkHeader(std::size_t size) {
  std::array<char, 20> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16).ptr;
  return std::string(digits.data(), end) + "\r\n";
}

ParseStatus ChunkDecoder::read(std::string_view raw, std::size_t& consumed, std::string& out,
                               std::size_t maxBytes) {
  consumed = 0;
  for (;;) {
    const std::string_view rest = raw.substr(consumed);
    if (state_ == State::data) {
      const std::size_t size = std::min(remaining_, rest.size());
      out.append(rest.substr(0, size));
      consumed += size;
      remaining_ -= size;
      if (remaining_ > 0) return ParseStatus::needMore;
      state_ = State::dataEnd;
      continue;
    }
    const std::size_t end = rest.find("\r\n");
    if (end == std::string_view::npos)
      return rest.size() > kMaxLineBytes ? ParseStatus::malformed : ParseStatus::needMore;
    if (end > kMaxLineBytes) return ParseStatus::malformed;
    const std::string_view line = rest.substr(0, end);
    consumed += end + 2;
    if (state_ == State::dataEnd) {
      if (!line.empty()) return ParseStatus::malformed;
      state_ = State::size;
    } else if (state_ == State::trailer) {
      if (line.empty()) return ParseStatus::done;
    } else {
      const std::string_view digits = line.substr(0, line.find(';'));
      const auto [last, error] =
          std::from_chars(digits.data(), digits.data() + digits.size(), remaining_, 16);
      if (error != std::errc{} || last != digits.data() + digits.size() || digits.size() > 8 ||
          digits[0] == '-')
        return ParseStatus::malformed;
      if (out.size() + remaining_ > maxBytes) return ParseStatus::bodyTooLong;
      state_ = remaining_ == 0 ? State::trailer : State::data;
    }
  }
}

ParseStatus Reader::readHead(std::string& in) {
  // Skip empty lines ahead of a request, also when CR and LF arrive separately.
  while (kind_ == Kind::request && in.size() >= 2 && in[0] == '\r' && in[1] == '\n') {
    in.erase(0, 2);
    scanned_ = 0;
  }
  const std::size_t end = in.find("\r\n\r\n", scanned_ < 3 ? 0 : scanned_ - 3);
  scanned_ = in.size();
  if (end == std::string::npos)
    return in.size() > kMaxHeadBytes ? ParseStatus::headTooLong : ParseStatus::needMore;
  if (end + 4 > kMaxHeadBytes) return ParseStatus::headTooLong;

  Message& message = message_;
  // Replace the line break of a folded field by spaces (RFC 9112, 5.2), except in the start line. A folded
  // length is no longer a valid number.
  for (std::size_t lineBreak = in.find("\r\n"); lineBreak < end; lineBreak = in.find("\r\n", lineBreak + 2)) {
    if ((in[lineBreak + 2] == ' ' || in[lineBreak + 2] == '\t') && lineBreak > in.find("\r\n"))
      in[lineBreak] = in[lineBreak + 1] = ' ';
  }
  const std::string_view head = std::string_view(in).substr(0, end + 2);
  const auto range = [](std::size_t offset, std::size_t size) {
    return ByteRange{static_cast<std::uint32_t>(offset), static_cast<std::uint32_t>(size)};
  };
  const auto text = [&](ByteRange p) { return head.substr(p.offset, p.size); };
  const std::size_t startLineEnd = head.find("\r\n");
  const std::size_t firstSpace = head.find(' ');
  if (firstSpace >= startLineEnd) return ParseStatus::malformed;
  std::size_t secondSpace = head.find(' ', firstSpace + 1);
  if (secondSpace >= startLineEnd) {
    if (kind_ == Kind::request) return ParseStatus::malformed;
    secondSpace = startLineEnd;  // no reason phrase
  }
  message.startLine_[0] = range(0, firstSpace);
  message.startLine_[1] = range(firstSpace + 1, secondSpace - firstSpace - 1);
  message.startLine_[2] = secondSpace < startLineEnd ? range(secondSpace + 1, startLineEnd - secondSpace - 1)
                                                     : range(startLineEnd, 0);
  if (!isPrintable(head.substr(0, startLineEnd))) return ParseStatus::malformed;
  const std::string_view version = text(message.startLine_[kind_ == Kind::request ? 2 : 0]);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return ParseStatus::malformed;
  const std::string_view secondPart = text(message.startLine_[1]);
  if (kind_ == Kind::request) {
    if (!isToken(text(message.startLine_[0])) || secondPart.empty()) return ParseStatus::malformed;
    // Absolute form: keep only the path, as Host repeats the authority.
    if (secondPart[0] != '/') {
      const std::size_t path =
          equalsIgnoreCase(secondPart.substr(0, 7), "http://") ? secondPart.find('/', 7) : secondPart.npos;
      if (path == secondPart.npos || path == 7) return ParseStatus::malformed;
      message.startLine_[1] = range(firstSpace + 1 + path, secondPart.size() - path);
    }
  } else {
    const auto [last, error] =
        std::from_chars(secondPart.data(), secondPart.data() + secondPart.size(), message.status_);
    if (error != std::errc{} || last != secondPart.data() + secondPart.size() || secondPart.size() != 3 ||
        message.status_ < 100)
      return ParseStatus::malformed;
  }
  for (std::size_t offset = startLineEnd + 2; offset < head.size();) {
    const std::size_t lineEnd = head.find("\r\n", offset);
    const std::size_t colon = head.find(':', offset);
    if (colon >= lineEnd || !isToken(head.substr(offset, colon - offset))) return ParseStatus::malformed;
    std::size_t first = colon + 1;
    std::size_t last = lineEnd;
    while (first < last && (head[first] == ' ' || head[first] == '\t')) ++first;
    while (last > first && (head[last - 1] == ' ' || head[last - 1] == '\t')) --last;
    if (!isPrintable(head.substr(first, last - first))) return ParseStatus::malformed;
    message.fields_.push_back({range(offset, colon - offset), range(first, last - first)});
    offset = lineEnd + 2;
  }
  headEnd_ = end + 4;
  return readFraming(head);
}

// Determines the framing. Accepts one length or chunked, but not both, as parsers could disagree on the end.
ParseStatus Reader::readFraming(std::string_view head) {
  const auto text = [&](ByteRange p) { return head.substr(p.offset, p.size); };
  std::optional<std::string_view> length;
  for (const Field& field : message_.fields_) {
    const std::string_view value = text(field.value);
    if (equalsIgnoreCase(text(field.name), "Content-Length")) {
      if (length && *length != value) return ParseStatus::malformed;
      length = value;
    } else if (equalsIgnoreCase(text(field.name), "Transfer-Encoding")) {
      if (message_.chunked_ || !equalsIgnoreCase(value, "chunked")) return ParseStatus::malformed;
      message_.chunked_ = true;
    }
  }
  if (length && message_.chunked_) return ParseStatus::malformed;
  // HTTP/1.0 has no chunked encoding, so an intermediary could frame the body differently.
  if (message_.chunked_ && text(message_.startLine_[kind_ == Kind::request ? 2 : 0]) == "HTTP/1.0")
    return ParseStatus::malformed;
  if (length) {
    const auto [last, error] = std::from_chars(length->data(), length->data() + length->size(), length_);
    const bool digits = !length->empty() && (*length)[0] >= '0' && (*length)[0] <= '9';
    if (!digits || last != length->data() + length->size()) return ParseStatus::malformed;
    if (error != std::errc{} || length_ > maxBodyBytes_) return ParseStatus::bodyTooLong;
    message_.length_ = length_;
  }
  // Reject a response delimited by connection close without "Connection: close": truncation could not be
  // detected.
  if (kind_ == Kind::response && !length && !message_.chunked_ && message_.status_ == 200 &&
      message_.keepsAliveAfter(head))
    return ParseStatus::malformed;
  return ParseStatus::done;
}

BodyReader::BodyReader(const Message& head, Reader::Kind kind, std::size_t maxBytes) : maxBytes_(maxBytes) {
  if (head.chunked()) {
    framing_ = Framing::chunked;
  } else if (head.length()) {
    remaining_ = *head.length();
  } else if (kind == Reader::Kind::response && head.status() == 200) {
    framing_ = Framing::untilClose;
  }
}

ParseStatus BodyReader::read(std::string& in, std::string& out) {
  const std::size_t before = out.size();
  ParseStatus progress = ParseStatus::needMore;
  if (framing_ == Framing::chunked) {
    std::size_t consumed = 0;
    progress = chunkDecoder_.read(in, consumed, out, before + maxBytes_);
    in.erase(0, consumed);
  } else {
    const std::size_t size = framing_ == Framing::length ? std::min(remaining_, in.size()) : in.size();
    out.append(in, 0, size);
    in.erase(0, size);
    if (framing_ == Framing::length && (remaining_ -= size) == 0) progress = ParseStatus::done;
  }
  total_ += out.size() - before;
  return total_ > maxBytes_ ? ParseStatus::bodyTooLong : progress;
}

ParseStatus Reader::read(std::string& in) {
  if (headEnd_ == 0) {
    const ParseStatus head = readHead(in);
    if (head != ParseStatus::done) return head;
    end_ = headEnd_;
  }
  if (!message_.chunked_) {
    end_ = headEnd_ + length_;
    return in.size() >= end_ ? ParseStatus::done : ParseStatus::needMore;
  }
  std::size_t consumed = 0;
  const ParseStatus chunks =
      chunkDecoder_.read(std::string_view(in).substr(end_), consumed, message_.decodedBody_, maxBodyBytes_);
  end_ += consumed;
  // Bound the raw bytes too, as small chunks can have long size lines.
  if (chunks == ParseStatus::needMore && in.size() > headEnd_ + 2 * maxBodyBytes_)
    return ParseStatus::bodyTooLong;
  return chunks;
}

Message Reader::take(std::string& in) {
  Message message = std::move(message_);
  const std::size_t end = end_;
  message.body_ = {static_cast<std::uint32_t>(headEnd_), static_cast<std::uint32_t>(length_)};
  message.bodyDetached_ = message.chunked_;
  *this = Reader(kind_, maxBodyBytes_);
  std::string rest = in.substr(end);
  message.bytes_ = std::move(in);
  in = std::move(rest);
  return message;
}

Message Reader::takeHead(std::string& in) {
  Message message = std::move(message_);
  message.bytes_ = in.substr(0, headEnd_);
  in.erase(0, headEnd_);
  *this = Reader(kind_, maxBodyBytes_);
  return message;
}

}  // namespace rackroute::http
