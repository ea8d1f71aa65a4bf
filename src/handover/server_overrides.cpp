#include "handover/server_overrides.hpp"

#include <charconv>
#include <cstdint>

namespace rackroute::handover {
namespace {

constexpr std::size_t kMaxServers = 65536;  // as many as the balancer remembers
constexpr std::string_view kHeader = "rackroute-said 1\n";
constexpr std::string_view kTrailer = "end\n";

template <class Number>
bool parseNumber(std::string_view text, Number& number, int base) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
  return error == std::errc{} && end == text.data() + text.size();
}

}  // namespace

bool ServerOverrides::record(ServerId server, ServerOverride entry) {
  const auto at = overrides_.find(server);
  if (at == overrides_.end() && overrides_.size() >= kMaxServers) return false;
  if (at == overrides_.end() || at->second.at <= entry.at) overrides_[server] = entry;
  return true;
}

void ServerOverrides::dropEnabledBefore(Moment time) {
  std::erase_if(overrides_,
                [&](const auto& entry) { return !entry.second.disabled && entry.second.at < time; });
}

std::string ServerOverrides::text() const {
  std::string text(kHeader);
  for (const auto& [server, entry] : overrides_) text += formatOverride(server, entry) + '\n';
  return text.append(kTrailer);
}

std::optional<ServerOverrides> ServerOverrides::parse(std::string_view text) {
  if (text.size() < kHeader.size() + kTrailer.size() || text.substr(0, kHeader.size()) != kHeader ||
      text.substr(text.size() - kTrailer.size()) != kTrailer)
    return std::nullopt;
  text = text.substr(kHeader.size(), text.size() - kHeader.size() - kTrailer.size());
  ServerOverrides overrides;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    ServerId server;
    ServerOverride entry;
    if (end == std::string_view::npos || !parseOverride(text.substr(0, end), server, entry))
      return std::nullopt;
    if (!overrides.record(server, entry)) return std::nullopt;
    text.remove_prefix(end + 1);
  }
  return overrides;
}

std::string formatOverride(ServerId server, ServerOverride entry) {
  char digits[17] = {};
  std::to_chars(digits, digits + 16, server.value, 16);
  return std::string(entry.disabled ? "out " : "back ") + digits + ' ' +
         std::to_string(entry.at.time_since_epoch().count());
}

bool parseOverride(std::string_view line, ServerId& server, ServerOverride& entry) {
  const std::size_t firstSpace = line.find(' ');
  const std::size_t secondSpace = line.find(' ', firstSpace + 1);
  if (firstSpace == std::string_view::npos || secondSpace == std::string_view::npos) return false;
  const std::string_view kind = line.substr(0, firstSpace);
  entry.disabled = kind == "out";
  std::int64_t millis = 0;
  if (!entry.disabled && kind != "back") return false;
  if (!parseNumber(line.substr(firstSpace + 1, secondSpace - firstSpace - 1), server.value, 16) ||
      !parseNumber(line.substr(secondSpace + 1), millis, 10))
    return false;
  entry.at = Moment(std::chrono::milliseconds(millis));
  return true;
}

}  // namespace rackroute::handover
