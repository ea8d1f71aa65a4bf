#pragma once

// An operator's file of the old shape (each client its own sidecar, nominal weights) turned into its
// counterpart for the new one (a pool of sidecars, weights that follow load, two locations). No input or
// output here.

#include <stdexcept>
#include <string>
#include <vector>

namespace rackroute::migrate {

struct Refused : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Missing: not carried over; the operator supplies it or does without.
enum class Fate { carried, set, missing };

struct Line {
  Fate fate;
  std::string path;
  std::string what;
};

struct Translation {
  std::string text;  // the new file
  std::vector<Line> lines;
  [[nodiscard]] bool gaps() const;
};

/// Throws Refused, in one line, for what is no configuration of the old shape.
Translation translate(const std::string& old);

/// One line for each of the translation's, in the order of the old file.
std::string report(const Translation& translation);

}  // namespace rackroute::migrate
