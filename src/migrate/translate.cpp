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

constexpr std::array<std::string_view, 5> kRequiredKeys = {"listen", "discovery", "seed", "known",
                                                           "settings"};
constexpr std::array<std::string_view, 6> kCopiedKeys = {"name", "listen", "discovery",
                                                         "seed", "limits", "admin"};
constexpr std::size_t kPoolLocations = 2;

Object::Ptr parseObject(const std::string& text) {
  try {
    Poco::JSON::Parser parser(new Poco::JSON::ParseHandler(true));  // preserves key order
    const Var all = parser.parse(text);
    if (all.type() == typeid(Object::Ptr)) return all.extract<Object::Ptr>();
  } catch (const Poco::Exception& error) {
    throw TranslationError("not valid JSON: " + error.displayText());
  }
  throw TranslationError("not a JSON object");
}

template <class Value>
Value required(const Object& document, const std::string& path, const std::string& name) {
  const Var value = document.get(name);
  if (value.isEmpty() || value.type() != typeid(Value))
    throw TranslationError(path + name + " is missing or malformed");
  return value.extract<Value>();
}

class Translator {
 public:
  explicit Translator(const std::string& old) : old_(parseObject(old)) {}

  Translation run() {
    for (const std::string_view name : kRequiredKeys)
      if (!old_->has(std::string(name))) throw TranslationError("missing key: " + std::string(name));
    const auto settings = required<Object::Ptr>(*old_, "", "settings");
    const auto weights = settings->optValue<std::string>("weights", "nominal");
    if (weights == "live") throw TranslationError("already in the new format: settings.weights is live");
    if (weights != "nominal" && weights != "rough" && weights != "none")
      throw TranslationError("unknown value of settings.weights: '" + weights + "'");
    for (const std::string& name : old_->getNames()) {
      if (name == "settings") {
        result_.set(name, translateSettings(*settings));
      } else if (name == "known") {
        result_.set(name, emptyKnownList());
      } else if (std::count(kCopiedKeys.begin(), kCopiedKeys.end(), name) > 0) {
        copyValue(result_, "", name, old_->get(name));
      } else {
        reportMissing(name, "unknown key, omitted");
      }
    }
    std::ostringstream text;
    result_.stringify(text, 2);
    translation_.text = text.str() + "\n";
    return std::move(translation_);
  }

 private:
  void copyValue(Object& target, const std::string& prefix, const std::string& name, const Var& value) {
    target.set(name, value);
    translation_.report.push_back({Action::carried, prefix + name, ""});
  }
  void setSetting(Object& target, const std::string& name, const std::string& value,
                  const std::string& reason) {
    target.set(name, value);
    translation_.report.push_back({Action::set, "settings." + name, value + ": " + reason});
  }
  void reportMissing(const std::string& path, const std::string& detail) {
    translation_.report.push_back({Action::missing, path, detail});
  }

  Object::Ptr translateSettings(const Object& settings) {
    Object::Ptr result = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    const Var zones = settings.get("azs");
    const std::size_t locations =
        zones.type() == typeid(Array::Ptr) ? zones.extract<Array::Ptr>()->size() : 0;
    for (const std::string& name : settings.getNames()) {
      if (name == "weights" || name == "registry_mode" || name == "peers_total" || name == "my_number")
        continue;
      if ((name == "azs" || name == "locality") && locations != kPoolLocations) continue;
      copyValue(*result, "settings.", name, settings.get(name));
    }
    setSetting(*result, "weights", "live", "weights in the list follow load");
    setSetting(*result, "registry_mode", "pushed",
               "discovery pushes the list; the sidecar keeps its watch in either mode");
    reportMissing("settings.peers_total",
                  "counted one sidecar per client; supply the number of sidecars in the pool");
    reportMissing("settings.my_number",
                  "belonged to one client; supply this sidecar's index in the pool, from 0");
    if (locations != kPoolLocations) {
      reportMissing("settings.azs", std::to_string(locations) + " locations; supply the two of the new pool");
      reportMissing("settings.locality",
                    "may not be one of the new pool's two locations; supply this sidecar's");
    }
    return result;
  }

  Object::Ptr emptyKnownList() {
    const auto known = required<Object::Ptr>(*old_, "", "known");
    const auto servers = required<Array::Ptr>(*known, "known.", "endpoints");
    Object::Ptr result = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    result->set("index", 0);
    result->set("snapshot", true);
    result->set("endpoints", Array::Ptr(new Array));
    if (servers->size() > 0)
      reportMissing(
          "known.endpoints",
          std::to_string(servers->size()) +
              " servers with nominal weights; supply the new servers, or none until discovery lists them");
    return result;
  }

  Object::Ptr old_;
  Object result_{Poco::JSON_PRESERVE_KEY_ORDER};
  Translation translation_;
};

}  // namespace

bool Translation::hasMissing() const {
  return std::any_of(report.begin(), report.end(),
                     [](const ReportLine& line) { return line.action == Action::missing; });
}

Translation translate(const std::string& old) { return Translator(old).run(); }

std::string report(const Translation& translation) {
  std::string text;
  for (const ReportLine& line : translation.report) {
    text += line.action == Action::carried ? "carried  "
            : line.action == Action::set   ? "set      "
                                           : "missing  ";
    text += line.path + (line.detail.empty() ? "" : ": " + line.detail) + '\n';
  }
  return text;
}

}  // namespace rackroute::migrate
