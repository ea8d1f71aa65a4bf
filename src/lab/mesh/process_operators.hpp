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
  /// disturbedAt: when a control process was last killed, or the end of its last freeze.
  ProcessOperators(ProcessContext& context, std::function<Span(std::uint32_t control)> disturbedAt)
      : context_(context), disturbedAt_(std::move(disturbedAt)) {}

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
  std::function<Span(std::uint32_t control)> disturbedAt_;
  OperatorRecord table_;
};

}  // namespace rackroute::lab::mesh
