#include "mesh/configuration/duration_text.hpp"

#include <charconv>

namespace rackroute::mesh {
namespace {

// About 300 years; avoids an overflow of Span.
constexpr double kMaxMilliseconds = 1e13;

}  // namespace

std::optional<Span> parseDuration(std::string_view text) {
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{}) return std::nullopt;
  const std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
  if (unit == "s") {
    number *= 1000;
  } else if (unit != "ms") {
    return std::nullopt;
  }
  if (!(number >= 0) || number > kMaxMilliseconds) return std::nullopt;
  return Span(static_cast<Span::rep>(number * 1000));
}

std::string formatSeconds(Span span) {
  const auto milliseconds = span / std::chrono::milliseconds(1);
  std::string fraction = std::to_string(milliseconds % 1000);
  fraction.insert(0, 3 - fraction.size(), '0');
  return std::to_string(milliseconds / 1000) + '.' + fraction;
}

std::string formatDuration(Span span) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()) + "ms";
}

std::optional<Generation> parseGeneration(std::string_view text) {
  if (text.size() < 2 || text[0] != 'r' || text[1] < '0' || text[1] > '9') return std::nullopt;
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data() + 1, text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return Generation{number};
}

std::string formatGeneration(Generation generation) {
  std::string text = std::to_string(generation.value);
  text.insert(text.begin(), 'r');
  return text;
}

}  // namespace rackroute::mesh
