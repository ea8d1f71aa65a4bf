#pragma once

// The operators of a mesh of real processes: configuration changes, each retried until it gets a definite
// response, and the read-back of the configuration at the end.

#include <cstdint>
#include <functional>
#include <string>

#include "lab/mesh/process_context.hpp"

namespace rackroute::lab::mesh {

class ProcessOperators {
 public:
  explicit ProcessOperators(ProcessContext& context) : context_(context) {}

  /// Sends the initial configuration.
  void applyInitialConfig();
  void change(std::uint32_t who, bool race, bool bad);
  /// Reads the configuration and checks it. Calls done after a response, or once `until` has passed.
  void readBack(std::uint32_t control, Span until, const std::function<void()>& done);
  [[nodiscard]] const OperatorRecord& table() const { return table_; }

 private:
  void patch(std::uint32_t control, const std::string& body, const std::function<void(std::uint32_t)>& done);
  void call(const std::string& method, std::uint32_t control, const std::string& body,
            rackroute::mesh::HttpClient::Callback done);

  ProcessContext& context_;
  OperatorRecord table_;
};

}  // namespace rackroute::lab::mesh
