#include "http/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace rackroute::http {
namespace {

constexpr std::size_t kLongestLine = 256;  // bytes of a chunk's size line or of a trailer

bool tokenChar(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), tokenChar);
}

bool printable(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7f;
  });
}

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

template <class Call>
void eachListed(std::string_view list, Call call) {
  while (!list.empty()) {
    std::string_view item = list.substr(0, list.find(','));
    list.remove_prefix(std::min(list.size(), item.size() + 1));
    while (!item.empty() && (item.front() == ' ' || item.front() == '\t')) item.remove_prefix(1);
    while (!item.empty() && (item.back() == ' ' || item.back() == '\t')) item.remove_suffix(1);
    call(item);
  }
}

}  // namespace

bool sameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

std::optional<std::string_view> Message::field(std::string_view name) const {
  for (const Field& field : fields_) {
    if (sameName(text(field.name), name)) return text(field.value);
  }
  return std::nullopt;
}

std::size_t Message::count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      fields_.begin(), fields_.end(), [&](const Field& field) { return sameName(text(field.name), name); }));
}

bool Message::endsOpen(std::string_view head) const {
  const auto at = [&](Part part) { return head.substr(part.from, part.size); };
  bool open = at(words_[status_ == 0 ? 2 : 0]) != "HTTP/1.0";
  for (const Field& field : fields_) {
    if (!sameName(at(field.name), "Connection")) continue;
    eachListed(at(field.value), [&](std::string_view option) { open = open && !sameName(option, "close"); });
  }
  return open;
}

std::vector<std::string_view> Message::endToEnd(std::string_view but) const {
  constexpr std::array<std::string_view, 9> kOwn = {"Connection", "Keep-Alive", "Proxy-Connection",
                                                    "TE",         "Trailer",    "Transfer-Encoding",
                                                    "Upgrade",    "Expect",     "Content-Length"};
  std::vector<std::string_view> lines;
  for (const Field& field : fields_) {
    const std::string_view name = text(field.name);
    bool own = sameName(name, but) ||
               std::any_of(kOwn.begin(), kOwn.end(), [&](std::string_view o) { return sameName(o, name); });
    for (const Field& other : fields_) {
      if (!sameName(text(other.name), "Connection")) continue;
      eachListed(text(other.value), [&](std::string_view option) { own = own || sameName(option, name); });
    }
    if (own) continue;
    const std::size_t end = bytes_.find("\r\n", field.value.from + field.value.size) + 2;
    const std::string_view line = std::string_view(bytes_).substr(field.name.from, end - field.name.from);
    if (!lines.empty() && lines.back().data() + lines.back().size() == line.data()) {
      lines.back() = {lines.back().data(), lines.back().size() + line.size()};
    } else {
      lines.push_back(line);
    }
  }
  return lines;
}

std::string chunkHead(std::size_t size) {
  std::array<char, 20> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16).ptr;
  return std::string(digits.data(), end) + "\r\n";
}

Progress Chunks::read(std::string_view raw, std::size_t& used, std::string& out, std::size_t longest) {
  used = 0;
  for (;;) {
    const std::string_view rest = raw.substr(used);
    if (at_ == At::data) {
      const std::size_t size = std::min(left_, rest.size());
      out.append(rest.substr(0, size));
      used += size;
      left_ -= size;
      if (left_ > 0) return Progress::more;
      at_ = At::dataEnd;
      continue;
    }
    const std::size_t end = rest.find("\r\n");
    if (end == std::string_view::npos)
      return rest.size() > kLongestLine ? Progress::malformed : Progress::more;
    if (end > kLongestLine) return Progress::malformed;
    const std::string_view line = rest.substr(0, end);
    used += end + 2;
    if (at_ == At::dataEnd) {
      if (!line.empty()) return Progress::malformed;
      at_ = At::size;
    } else if (at_ == At::trailer) {
      if (line.empty()) return Progress::done;
    } else {
      const std::string_view digits = line.substr(0, line.find(';'));
      const auto [last, error] = std::from_chars(digits.data(), digits.data() + digits.size(), left_, 16);
      if (error != std::errc{} || last != digits.data() + digits.size() || digits.size() > 8 ||
          digits[0] == '-')
        return Progress::malformed;
      if (out.size() + left_ > longest) return Progress::bodyTooLong;
      at_ = left_ == 0 ? At::trailer : At::data;
    }
  }
}

Progress Reader::readHead(std::string& in) {
  // Guards against an empty line ahead of a query that comes in two pieces: it goes whenever it is whole.
  while (kind_ == Kind::query && in.size() >= 2 && in[0] == '\r' && in[1] == '\n') {
    in.erase(0, 2);
    scanned_ = 0;
  }
  const std::size_t end = in.find("\r\n\r\n", scanned_ < 3 ? 0 : scanned_ - 3);
  scanned_ = in.size();
  if (end == std::string::npos) return in.size() > kLongestHead ? Progress::headTooLong : Progress::more;
  if (end + 4 > kLongestHead) return Progress::headTooLong;

  Message& made = message_;
  // A folded field is one line that was broken: the break becomes spaces, as the standard has it. Never in
  // the first line; a length broken so is no number any more.
  for (std::size_t fold = in.find("\r\n"); fold < end; fold = in.find("\r\n", fold + 2)) {
    if ((in[fold + 2] == ' ' || in[fold + 2] == '\t') && fold > in.find("\r\n"))
      in[fold] = in[fold + 1] = ' ';
  }
  const std::string_view head = std::string_view(in).substr(0, end + 2);
  const auto part = [](std::size_t from, std::size_t size) {
    return Part{static_cast<std::uint32_t>(from), static_cast<std::uint32_t>(size)};
  };
  const auto text = [&](Part p) { return head.substr(p.from, p.size); };
  const std::size_t firstEnd = head.find("\r\n");
  const std::size_t one = head.find(' ');
  if (one >= firstEnd) return Progress::malformed;
  std::size_t two = head.find(' ', one + 1);
  if (two >= firstEnd) {
    if (kind_ == Kind::query) return Progress::malformed;
    two = firstEnd;  // no reason phrase
  }
  made.words_[0] = part(0, one);
  made.words_[1] = part(one + 1, two - one - 1);
  made.words_[2] = two < firstEnd ? part(two + 1, firstEnd - two - 1) : part(firstEnd, 0);
  if (!printable(head.substr(0, firstEnd))) return Progress::malformed;
  const std::string_view version = text(made.words_[kind_ == Kind::query ? 2 : 0]);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return Progress::malformed;
  const std::string_view middle = text(made.words_[1]);
  if (kind_ == Kind::query) {
    if (!token(text(made.words_[0])) || middle.empty()) return Progress::malformed;
    // The absolute form: servers get the path alone, and the authority told nothing that Host does not.
    if (middle[0] != '/') {
      const std::size_t path = sameName(middle.substr(0, 7), "http://") ? middle.find('/', 7) : middle.npos;
      if (path == middle.npos || path == 7) return Progress::malformed;
      made.words_[1] = part(one + 1 + path, middle.size() - path);
    }
  } else {
    const auto [last, error] = std::from_chars(middle.data(), middle.data() + middle.size(), made.status_);
    if (error != std::errc{} || last != middle.data() + middle.size() || middle.size() != 3 ||
        made.status_ < 100)
      return Progress::malformed;
  }
  for (std::size_t from = firstEnd + 2; from < head.size();) {
    const std::size_t lineEnd = head.find("\r\n", from);
    const std::size_t colon = head.find(':', from);
    if (colon >= lineEnd || !token(head.substr(from, colon - from))) return Progress::malformed;
    std::size_t first = colon + 1;
    std::size_t last = lineEnd;
    while (first < last && (head[first] == ' ' || head[first] == '\t')) ++first;
    while (last > first && (head[last - 1] == ' ' || head[last - 1] == '\t')) --last;
    if (!printable(head.substr(first, last - first))) return Progress::malformed;
    made.fields_.push_back({part(from, colon - from), part(first, last - first)});
    from = lineEnd + 2;
  }
  headEnd_ = end + 4;
  return readFraming(head);
}

// Guards against a message that two readers would end at different places: one length, or chunked, not both.
Progress Reader::readFraming(std::string_view head) {
  const auto text = [&](Part p) { return head.substr(p.from, p.size); };
  std::optional<std::string_view> length;
  for (const Field& field : message_.fields_) {
    const std::string_view value = text(field.value);
    if (sameName(text(field.name), "Content-Length")) {
      if (length && *length != value) return Progress::malformed;
      length = value;
    } else if (sameName(text(field.name), "Transfer-Encoding")) {
      if (message_.chunked_ || !sameName(value, "chunked")) return Progress::malformed;
      message_.chunked_ = true;
    }
  }
  if (length && message_.chunked_) return Progress::malformed;
  // The older version knows no chunks: who passes it on could read the body otherwise.
  if (message_.chunked_ && text(message_.words_[kind_ == Kind::query ? 2 : 0]) == "HTTP/1.0")
    return Progress::malformed;
  if (length) {
    const auto [last, error] = std::from_chars(length->data(), length->data() + length->size(), length_);
    const bool digits = !length->empty() && (*length)[0] >= '0' && (*length)[0] <= '9';
    if (!digits || last != length->data() + length->size()) return Progress::malformed;
    if (error != std::errc{} || length_ > longestBody_) return Progress::bodyTooLong;
    message_.length_ = length_;
  }
  // Guards against an answer that ends with its connection though its sender did not say so: nobody could
  // tell a whole one from a torn one.
  if (kind_ == Kind::answer && !length && !message_.chunked_ && message_.status_ == 200 &&
      message_.endsOpen(head))
    return Progress::malformed;
  return Progress::done;
}

Body::Body(const Message& head, Reader::Kind kind, std::size_t longest) : longest_(longest) {
  if (head.chunked()) {
    how_ = How::chunked;
  } else if (head.length()) {
    left_ = *head.length();
  } else if (kind == Reader::Kind::answer && head.status() == 200) {
    how_ = How::untilClose;
  }
}

Progress Body::read(std::string& in, std::string& out) {
  const std::size_t before = out.size();
  Progress progress = Progress::more;
  if (how_ == How::chunked) {
    std::size_t used = 0;
    progress = chunks_.read(in, used, out, before + longest_);
    in.erase(0, used);
  } else {
    const std::size_t size = how_ == How::length ? std::min(left_, in.size()) : in.size();
    out.append(in, 0, size);
    in.erase(0, size);
    if (how_ == How::length && (left_ -= size) == 0) progress = Progress::done;
  }
  total_ += out.size() - before;
  return total_ > longest_ ? Progress::bodyTooLong : progress;
}

Progress Reader::read(std::string& in) {
  if (headEnd_ == 0) {
    const Progress head = readHead(in);
    if (head != Progress::done) return head;
    end_ = headEnd_;
  }
  if (!message_.chunked_) {
    end_ = headEnd_ + length_;
    return in.size() >= end_ ? Progress::done : Progress::more;
  }
  std::size_t used = 0;
  const Progress chunks =
      chunks_.read(std::string_view(in).substr(end_), used, message_.unchunked_, longestBody_);
  end_ += used;
  // Guards against chunks of a byte each behind long size lines: the raw bytes have a bound too.
  if (chunks == Progress::more && in.size() > headEnd_ + 2 * longestBody_) return Progress::bodyTooLong;
  return chunks;
}

Message Reader::take(std::string& in) {
  Message made = std::move(message_);
  const std::size_t end = end_;
  made.body_ = {static_cast<std::uint32_t>(headEnd_), static_cast<std::uint32_t>(length_)};
  made.apart_ = made.chunked_;
  *this = Reader(kind_, longestBody_);
  std::string rest = in.substr(end);
  made.bytes_ = std::move(in);
  in = std::move(rest);
  return made;
}

Message Reader::takeHead(std::string& in) {
  Message made = std::move(message_);
  made.bytes_ = in.substr(0, headEnd_);
  in.erase(0, headEnd_);
  *this = Reader(kind_, longestBody_);
  return made;
}

}  // namespace rackroute::http
