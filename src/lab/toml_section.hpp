#pragma once

// Typed access to one table of a TOML file. Unknown keys, wrong types and values out of range are reported
// with file, line and key.

#include <toml++/toml.h>

#include <cmath>
#include <initializer_list>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lab/scenario.hpp"

namespace rackroute::lab {

/// Parses the text and applies the overrides.
toml::table readTable(std::string_view text, const std::string& file, const std::vector<Override>& overrides);
/// Reads a file; throws BadScenario on failure.
std::string textOf(const std::string& file);

inline constexpr double kMaxDurationSeconds = 3600;  // seconds

template <class Value>
using Choices = std::initializer_list<std::pair<std::string_view, Value>>;

/// One table of the file. Records the keys that are read; close() reports all others as unknown.
class Section {
 public:
  Section(const toml::table* table, std::string path, const std::string& file)
      : table_(table), path_(std::move(path)), file_(file) {}

  [[noreturn]] void fail(std::string_view key, const std::string& what) const {
    const toml::node* node = table_ == nullptr ? nullptr : table_->get(key);
    std::ostringstream line;
    line << file_;
    if (node != nullptr)
      line << ':' << node->source().begin.line;
    else if (table_ != nullptr && table_->source().begin.line > 0)
      line << ':' << table_->source().begin.line;
    line << ": " << path_ << key << ": " << what;
    throw BadScenario(line.str());
  }
  double number(std::string_view key, double otherwise, double least, double most) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    const auto value = node->value<double>();
    if (!value || !node->is_number()) fail(key, "must be a number");
    if (!(*value >= least && *value <= most)) {
      std::ostringstream what;
      what << "must be a number from " << least << " to " << most << ", not " << *value;
      fail(key, what.str());
    }
    return *value;
  }
  std::uint32_t integer(std::string_view key, std::uint32_t otherwise, double least, double most) {
    const double value = number(key, otherwise, least, most);
    if (value != std::floor(value)) fail(key, "must be an integer");
    return static_cast<std::uint32_t>(value);
  }
  Span seconds(std::string_view key, double otherwise, double least = 0, double most = kMaxDurationSeconds) {
    return span(number(key, otherwise, least, most));
  }
  Span millis(std::string_view key, double otherwise, double least = 0,
              double most = 1000 * kMaxDurationSeconds) {
    return span(number(key, otherwise, least, most) / 1000);
  }
  bool boolean(std::string_view key, bool otherwise) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    if (!node->is_boolean()) fail(key, "must be true or false");
    return node->value_or(otherwise);
  }
  std::string text(std::string_view key, const std::string& otherwise) {
    const toml::node* node = find(key);
    if (node == nullptr) return otherwise;
    if (!node->is_string()) fail(key, "must be a string");
    return node->value_or(otherwise);
  }
  template <class Value>
  Value choice(std::string_view key, Value otherwise, const Choices<Value>& words) {
    const std::string chosen = text(key, "");
    if (chosen.empty()) return otherwise;
    std::string known;
    for (const auto& [word, value] : words) {
      if (word == chosen) return value;
      known.append(known.empty() ? "" : ", ").append(word);
    }
    fail(key, "must be one of " + known + ", not '" + chosen + "'");
  }
  Section sub(std::string_view key) {
    const toml::node* node = find(key);
    if (node != nullptr && !node->is_table()) fail(key, "must be a table");
    return {node == nullptr ? nullptr : node->as_table(), path_ + std::string(key) + '.', file_};
  }
  std::vector<Section> tables(std::string_view key) {
    std::vector<Section> all;
    const toml::node* node = find(key);
    if (node == nullptr) return all;
    if (!node->is_array_of_tables()) fail(key, "must be an array of tables, [[" + std::string(key) + "]]");
    std::size_t number = 0;
    for (const toml::node& one : *node->as_array())
      all.emplace_back(one.as_table(), path_ + std::string(key) + '.' + std::to_string(number++) + '.',
                       file_);
    return all;
  }
  [[nodiscard]] bool has(std::string_view key) const { return table_ != nullptr && table_->contains(key); }
  /// Fails on keys that were not read, such as misspelled ones.
  void close() const {
    if (table_ == nullptr) return;
    for (const auto& [key, node] : *table_) {
      if (!read_.contains(key.str())) fail(key.str(), "unknown key" + nearest(key.str()));
    }
  }

 private:
  const toml::node* find(std::string_view key) {
    read_.emplace(key);
    return table_ == nullptr ? nullptr : table_->get(key);
  }
  [[nodiscard]] std::string nearest(std::string_view key) const {
    const std::string_view stem = key.substr(0, key.find('_'));
    for (const std::string& known : read_) {
      if (known.starts_with(stem)) return "; is " + known + " meant?";
    }
    return "";
  }

  const toml::table* table_;
  std::string path_;
  const std::string& file_;
  std::set<std::string, std::less<>> read_;
};

}  // namespace rackroute::lab
