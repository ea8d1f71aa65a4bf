#pragma once

// The operators of a mesh of real processes: changes of the configuration, each repeated until it has a clear
// answer, and the reading back at the end.

#include <cstdint>
#include <functional>
#include <string>

#include "lab/mesh/process_context.hpp"

namespace rackroute::lab::mesh {

class ProcessOperators {
 public:
  explicit ProcessOperators(ProcessContext& context) : context_(context) {}

  /// The first call, with every item.
  void begin();
  void change(std::uint32_t who, bool race, bool bad);
  /// Reads back and judges it; done: after an answer, or once until is over.
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
