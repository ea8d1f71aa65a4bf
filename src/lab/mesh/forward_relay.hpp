#pragma once

// A TCP relay in front of a sidecar's inbound listener that resets a ratio of the connections: before the
// request is forwarded, after it, in the middle of the response, at both ends, or with the request forwarded
// late, after the caller has seen the reset. Loopback only.

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
               RandomEngine& rng);
  ForwardRelay(const ForwardRelay&) = delete;
  ForwardRelay& operator=(const ForwardRelay&) = delete;
  ~ForwardRelay();

  /// Sets the ratio of requests whose connection is reset.
  void setResetRatio(double ratio) { resetRatio_ = ratio; }
  [[nodiscard]] std::uint64_t resets() const { return resets_; }

 private:
  friend class ForwardRelayPair;

  sidecar::Loop& loop_;
  rackroute::mesh::Address target_;
  RandomEngine& rng_;
  rackroute::mesh::Listener listener_;
  std::set<std::shared_ptr<ForwardRelayPair>> pairs_;
  double resetRatio_ = 0;
  std::uint64_t resets_ = 0;
};

}  // namespace rackroute::lab::mesh
