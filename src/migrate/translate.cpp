#include "migrate/translate.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <string_view>

namespace rackroute::migrate {
namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::array<std::string_view, 5> kNeeded = {"listen", "discovery", "seed", "known", "settings"};
constexpr std::array<std::string_view, 6> kCarried = {"name", "listen", "discovery",
                                                      "seed", "limits", "admin"};
constexpr std::size_t kLocations = 2;  // the new shape's

Object::Ptr parsed(const std::string& text) {
  try {
    Poco::JSON::Parser parser(new Poco::JSON::ParseHandler(true));  // keeps the order of the file
    const Var all = parser.parse(text);
    if (all.type() == typeid(Object::Ptr)) return all.extract<Object::Ptr>();
  } catch (const Poco::Exception& error) {
    throw Refused("it is no JSON: " + error.displayText());
  }
  throw Refused("it is no object");
}

template <class Value>
Value part(const Object& document, const std::string& path, const std::string& name) {
  const Var value = document.get(name);
  if (value.isEmpty() || value.type() != typeid(Value))
    throw Refused(path + name + " is missing or malformed");
  return value.extract<Value>();
}

class Translator {
 public:
  explicit Translator(const std::string& old) : old_(parsed(old)) {}

  Translation run() {
    for (const std::string_view name : kNeeded)
      if (!old_->has(std::string(name))) throw Refused("it lacks " + std::string(name));
    const auto settings = part<Object::Ptr>(*old_, "", "settings");
    const auto weights = settings->optValue<std::string>("weights", "nominal");
    if (weights == "live") throw Refused("it is of the new shape already: settings.weights is live");
    if (weights != "nominal" && weights != "rough" && weights != "none")
      throw Refused("settings.weights: '" + weights + "'");
    for (const std::string& name : old_->getNames()) {  // in the file's order
      if (name == "settings") {
        made_.set(name, moved(*settings));
      } else if (name == "known") {
        made_.set(name, knownAnew());
      } else if (std::count(kCarried.begin(), kCarried.end(), name) > 0) {
        carry(made_, "", name, old_->get(name));
      } else {
        missing(name, "the program knows no such key; left out");
      }
    }
    std::ostringstream text;
    made_.stringify(text, 2);
    translation_.text = text.str() + "\n";
    return std::move(translation_);
  }

 private:
  void carry(Object& into, const std::string& at, const std::string& name, const Var& value) {
    into.set(name, value);
    translation_.lines.push_back({Fate::carried, at + name, ""});
  }
  void put(Object& into, const std::string& name, const std::string& value, const std::string& why) {
    into.set(name, value);
    translation_.lines.push_back({Fate::set, "settings." + name, value + ": " + why});
  }
  void missing(const std::string& path, const std::string& what) {
    translation_.lines.push_back({Fate::missing, path, what});
  }

  Object::Ptr moved(const Object& settings) {
    Object::Ptr made = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    const Var zones = settings.get("azs");
    const std::size_t locations =
        zones.type() == typeid(Array::Ptr) ? zones.extract<Array::Ptr>()->size() : 0;
    for (const std::string& name : settings.getNames()) {
      if (name == "weights" || name == "registry_mode" || name == "peers_total" || name == "my_number")
        continue;
      if ((name == "azs" || name == "locality") && locations != kLocations) continue;
      carry(*made, "settings.", name, settings.get(name));
    }
    put(*made, "weights", "live", "the list's weights follow load");
    put(*made, "registry_mode", "pushed", "the list is sent unasked; the sidecar keeps its watch either way");
    missing("settings.peers_total", "counted each client's own sidecar; supply how many the pool has");
    missing("settings.my_number", "was a client's; supply this sidecar's place in the pool, from 0");
    if (locations != kLocations) {
      missing("settings.azs", std::to_string(locations) + " locations; supply the new fleet's two");
      missing("settings.locality", "may be none of the new fleet's two; supply this sidecar's");
    }
    return made;
  }

  Object::Ptr knownAnew() {
    const auto known = part<Object::Ptr>(*old_, "", "known");
    const auto servers = part<Array::Ptr>(*known, "known.", "endpoints");
    Object::Ptr made = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    made->set("index", 0);
    made->set("snapshot", true);
    made->set("endpoints", Array::Ptr(new Array));
    if (servers->size() > 0)
      missing(
          "known.endpoints",
          std::to_string(servers->size()) +
              " servers of the old fleet, their weights sizes; supply the new fleet's, or have none until "
              "discovery tells them");
    return made;
  }

  Object::Ptr old_;
  Object made_{Poco::JSON_PRESERVE_KEY_ORDER};
  Translation translation_;
};

}  // namespace

bool Translation::gaps() const {
  return std::any_of(lines.begin(), lines.end(), [](const Line& line) { return line.fate == Fate::missing; });
}

Translation translate(const std::string& old) { return Translator(old).run(); }

std::string report(const Translation& translation) {
  std::string all;
  for (const Line& line : translation.lines) {
    all += line.fate == Fate::carried ? "carried  " : line.fate == Fate::set ? "set      " : "missing  ";
    all += line.path + (line.what.empty() ? "" : ": " + line.what) + '\n';
  }
  return all;
}

}  // namespace rackroute::migrate
