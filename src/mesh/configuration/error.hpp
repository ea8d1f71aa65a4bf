#pragma once

// What went wrong, with the step at which it did and the peer that was involved. It decides nothing.

#include <boost/outcome.hpp>
#include <string>
#include <utility>

namespace rackroute::mesh {

struct Error {
  std::string step;
  std::string peer;  // empty: none but this process
  std::string what;
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
