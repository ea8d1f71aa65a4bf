#include "lab/toml_section.hpp"

#include <charconv>
#include <fstream>
#include <iterator>

namespace rackroute::lab {
namespace {

void override(toml::table& table, const Override& change, const std::string& file) {
  const auto& [path, value] = change;
  const auto fail = [&](const std::string& what) { throw BadScenario(file + ": " + path + ": " + what); };
  toml::node* node = &table;
  std::size_t from = 0;
  for (;;) {
    const std::size_t dot = path.find('.', from);
    const std::string part = path.substr(from, dot - from);
    const bool last = dot == std::string::npos;
    if (toml::array* array = node->as_array()) {
      std::size_t at = array->size();
      std::from_chars(part.data(), part.data() + part.size(), at);
      if (at >= array->size() || last) fail("does not name a table of the file");
      node = array->get(at);
    } else if (toml::table* inner = node->as_table()) {
      if (last) {
        double number = 0;
        const auto end = std::from_chars(value.data(), value.data() + value.size(), number);
        if (end.ec == std::errc{} && end.ptr == value.data() + value.size())
          inner->insert_or_assign(part, number);
        else if (value == "true" || value == "false")
          inner->insert_or_assign(part, value == "true");
        else
          inner->insert_or_assign(part, value);
        return;
      }
      if (!inner->contains(part)) inner->insert(part, toml::table{});
      node = inner->get(part);
    } else {
      fail("does not name a table of the file");
    }
    from = dot + 1;
  }
}

}  // namespace

toml::table readTable(std::string_view text, const std::string& file,
                      const std::vector<Override>& overrides) {
  toml::table table;
  try {
    table = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    std::ostringstream line;
    line << file << ':' << error.source().begin.line << ": " << error.description();
    throw BadScenario(line.str());
  }
  for (const Override& change : overrides) override(table, change, file);
  return table;
}

std::string textOf(const std::string& file) {
  std::ifstream in(file);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in) throw BadScenario(file + ": cannot be read");
  return text;
}

}  // namespace rackroute::lab
