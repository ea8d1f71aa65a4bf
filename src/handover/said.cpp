#include "handover/said.hpp"

#include <charconv>
#include <cstdint>

namespace rackroute::handover {
namespace {

constexpr std::size_t kMost = 65536;  // words; as many as servers that are remembered as ever listed
constexpr std::string_view kFirst = "rackroute-said 1\n";
constexpr std::string_view kLast = "end\n";

template <class Number>
bool read(std::string_view text, Number& number, int base) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
  return error == std::errc{} && end == text.data() + text.size();
}

}  // namespace

bool Said::note(ServerId server, Word word) {
  const auto at = words_.find(server);
  if (at == words_.end() && words_.size() >= kMost) return false;
  if (at == words_.end() || at->second.at <= word.at) words_[server] = word;
  return true;
}

void Said::forgetBack(Moment before) {
  std::erase_if(words_, [&](const auto& word) { return !word.second.out && word.second.at < before; });
}

std::string Said::text() const {
  std::string text(kFirst);
  for (const auto& [server, word] : words_) text += line(server, word) + '\n';
  return text.append(kLast);
}

std::optional<Said> Said::read(std::string_view text) {
  if (text.size() < kFirst.size() + kLast.size() || text.substr(0, kFirst.size()) != kFirst ||
      text.substr(text.size() - kLast.size()) != kLast)
    return std::nullopt;
  text = text.substr(kFirst.size(), text.size() - kFirst.size() - kLast.size());
  Said said;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    ServerId server;
    Word word;
    if (end == std::string_view::npos || !readLine(text.substr(0, end), server, word)) return std::nullopt;
    if (!said.note(server, word)) return std::nullopt;
    text.remove_prefix(end + 1);
  }
  return said;
}

std::string line(ServerId server, Word word) {
  char digits[17] = {};
  std::to_chars(digits, digits + 16, server.value, 16);
  return std::string(word.out ? "out " : "back ") + digits + ' ' +
         std::to_string(word.at.time_since_epoch().count());
}

bool readLine(std::string_view line, ServerId& server, Word& word) {
  const std::size_t one = line.find(' ');
  const std::size_t two = line.find(' ', one + 1);
  if (one == std::string_view::npos || two == std::string_view::npos) return false;
  const std::string_view kind = line.substr(0, one);
  word.out = kind == "out";
  std::int64_t millis = 0;
  if (!word.out && kind != "back") return false;
  if (!read(line.substr(one + 1, two - one - 1), server.value, 16) || !read(line.substr(two + 1), millis, 10))
    return false;
  word.at = Moment(std::chrono::milliseconds(millis));
  return true;
}

}  // namespace rackroute::handover
