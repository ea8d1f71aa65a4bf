#include "mesh/control/base64.hpp"

#include <algorithm>
#include <array>

namespace rackroute::mesh {
namespace {

constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::uint8_t kInvalidDigit = 64;

constexpr std::array<std::uint8_t, 256> makeDigitValues() {
  std::array<std::uint8_t, 256> values{};
  for (std::uint8_t& value : values) value = kInvalidDigit;
  for (std::size_t i = 0; i < kDigits.size(); ++i)
    values[static_cast<unsigned char>(kDigits[i])] = static_cast<std::uint8_t>(i);
  return values;
}
constexpr std::array<std::uint8_t, 256> kDigitValues = makeDigitValues();

}  // namespace

std::string toBase64(const std::vector<std::uint8_t>& bytes) {
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) group = group << 8 | (k < count ? bytes[i + k] : 0U);
    for (std::size_t k = 0; k < 4; ++k) {
      const std::uint32_t digit = group >> (18 - 6 * k) & 63;
      text += k <= count ? kDigits[digit] : '=';
    }
  }
  return text;
}

std::optional<std::vector<std::uint8_t>> fromBase64(std::string_view text) {
  if (text.size() % 4 != 0) return std::nullopt;
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') ++padding;
  std::vector<std::uint8_t> bytes;
  bytes.reserve(text.size() / 4 * 3);
  std::uint32_t group = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool padded = i + padding >= text.size();
    const std::uint8_t value = padded ? 0 : kDigitValues[static_cast<unsigned char>(text[i])];
    if (value == kInvalidDigit) return std::nullopt;
    group = group << 6 | value;
    if (i % 4 != 3) continue;
    for (int shift = 16; shift >= 0; shift -= 8) bytes.push_back(static_cast<std::uint8_t>(group >> shift));
    group = 0;
  }
  for (; padding > 0; --padding) bytes.pop_back();
  return bytes;
}

}  // namespace rackroute::mesh
