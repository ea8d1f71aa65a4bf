#pragma once

// Translates a configuration of the old deployment model (one sidecar per client, nominal weights) into one
// for the new model (a shared pool of sidecars, load-based weights, two locations). No I/O.

#include <stdexcept>
#include <string>
#include <vector>

namespace rackroute::migrate {

struct TranslationError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// `missing`: not translated; the operator has to supply the value or do without.
enum class Action { carried, set, missing };

struct ReportLine {
  Action action;
  std::string path;
  std::string detail;
};

struct Translation {
  std::string text;  // contents of the new file
  std::vector<ReportLine> report;
  [[nodiscard]] bool hasMissing() const;
};

/// Throws TranslationError, with a one-line message, if `old` is not a configuration of the old model.
Translation translate(const std::string& old);

/// Formats one line per key, in the order of the old file.
std::string report(const Translation& translation);

}  // namespace rackroute::migrate
