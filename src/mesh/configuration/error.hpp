#pragma once

// Errors that name the failed step, the peer involved and the cause, and results that carry them.

#include <boost/outcome.hpp>
#include <string>
#include <utility>

namespace rackroute::mesh {

struct Error {
  std::string step;
  std::string peer;  // empty: no other process is involved
  std::string what;
  /// The error in one line: step (peer): what.
  [[nodiscard]] std::string line() const {
    return step + (peer.empty() ? "" : " (" + peer + ")") + ": " + what;
  }
};

template <class Value>
using Result = boost::outcome_v2::basic_result<Value, Error, boost::outcome_v2::policy::terminate>;

inline Error failure(std::string step, std::string what, std::string peer = {}) {
  return Error{std::move(step), std::move(peer), std::move(what)};
}

}  // namespace rackroute::mesh
