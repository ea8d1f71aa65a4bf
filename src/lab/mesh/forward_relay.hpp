#pragma once

// Stands between the callers and one sidecar's inbound and resets connections as it is told to: before a
// request has passed, after it, within its answer, at both ends at once, or so that the request comes late,
// when its caller knows of the reset already. Loopback only.

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "lab/random.hpp"
#include "mesh/names.hpp"
#include "mesh/transport/listener.hpp"
#include "sidecar/loop.hpp"

namespace rackroute::lab::mesh {

class ForwardRelayPair;

class ForwardRelay {
 public:
  ForwardRelay(sidecar::Loop& loop, const rackroute::mesh::Address& at, rackroute::mesh::Address to,
               RandomEngine& chance);
  ForwardRelay(const ForwardRelay&) = delete;
  ForwardRelay& operator=(const ForwardRelay&) = delete;
  ~ForwardRelay();

  /// From now on this part of the requests meets a reset.
  void reset(double part) { part_ = part; }
  [[nodiscard]] std::uint64_t resets() const { return resets_; }

 private:
  friend class ForwardRelayPair;

  sidecar::Loop& loop_;
  rackroute::mesh::Address to_;
  RandomEngine& chance_;
  rackroute::mesh::Listener listener_;
  std::set<std::shared_ptr<ForwardRelayPair>> pairs_;
  double part_ = 0;
  std::uint64_t resets_ = 0;
};

}  // namespace rackroute::lab::mesh
