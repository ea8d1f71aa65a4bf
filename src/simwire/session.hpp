#pragma once

// Adapter between the simulator's line protocol and balancer instances.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "rackroute/balancer.hpp"
#include "terms/balancer_settings.hpp"

namespace rackroute::simwire {

using settings::MalformedValue;

class Instance;

/// Processes the simulator's protocol line by line: each event becomes a call to a balancer, and each of its
/// actions a line of the reply.
class Session {
 public:
  Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  ~Session();

  /// Reads one line without its line end. Returns true at the end of a batch: takeReply() is then to be
  /// written.
  bool read(std::string_view line);
  /// Returns the reply to the completed batch and clears it.
  std::string takeReply();
  [[nodiscard]] bool betweenBatches() const { return !inBatch_; }

 private:
  struct Entry {
    std::string name;
    std::string zone;
    Lifecycle lifecycle;
    double size;
    std::int64_t since;
    std::int64_t cell;
  };
  void event(const std::vector<std::string_view>& parts);
  void start(const std::vector<std::string_view>& parts);
  void defineList(const std::vector<std::string_view>& parts);
  void entry(const std::vector<std::string_view>& parts);

  std::map<std::int64_t, std::unique_ptr<Instance>> instances_;
  std::vector<std::vector<Entry>> lists_;
  std::vector<std::string_view> parts_;
  std::string reply_;
  std::int64_t clock_ = 0;  // microseconds
  std::size_t entriesRemaining_ = 0;
  std::size_t slot_ = 0;
  bool inBatch_ = false;
};

}  // namespace rackroute::simwire
