#pragma once

/// One sidecar as its program runs it, without the sockets of clients and servers: the state machine
/// (mesh::Sidecar) with its real sessions. Used by the threads of a hollow run, each sidecar by one thread.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/mesh/counted_session.hpp"
#include "lab/mesh/hollow_board.hpp"
#include "mesh/sidecar/sidecar.hpp"
#include "mesh/transport/compression.hpp"
#include "sidecar/loop.hpp"

namespace rackroute::lab::mesh {

/// Who a hollow sidecar says it is.
struct HollowIdentity {
  std::uint32_t number = 0;
  std::string ip;
  std::string zone;
  std::string service;
  std::vector<rackroute::mesh::Address> controls;  // of their sessions
};

class HollowSidecar {
 public:
  HollowSidecar(sidecar::Loop& loop, rackroute::mesh::Compressor& compressor, Board& board,
                HollowIdentity identity);
  HollowSidecar(const HollowSidecar&) = delete;
  HollowSidecar& operator=(const HollowSidecar&) = delete;

  /// From now on it dials, and its server calls it.
  void start();
  /// Its sessions are closed; nothing is done any more.
  void end();

  /// The server here changes what others act on.
  void changeServer();

  /// A keyed request for the server here, which answers it as soon as the key is won.
  void claim(const std::string& key);

  std::vector<double> claimMilliseconds;  // of those won
  std::uint64_t claimsRefused = 0;

 private:
  [[nodiscard]] rackroute::mesh::Sidecar::Built built() const;

  void beat();
  void tellServer();
  void tick() { act(sidecar_.tick(loop_.now())); }

  void act(rackroute::mesh::SidecarActions actions);
  void act(const rackroute::mesh::AdmissionAction& action);
  void answered(rackroute::mesh::AskNo ask);
  void act(const rackroute::mesh::ControlClientAction& action);
  void dial(const rackroute::mesh::Address& at);

  /// Tells the board what changed here.
  void watch();

  void wakeInTime();

  sidecar::Loop& loop_;
  rackroute::mesh::Compressor& compressor_;
  Board& board_;
  HollowIdentity identity_;
  rackroute::mesh::InstanceId instance_;
  rackroute::mesh::Sidecar sidecar_;
  std::map<rackroute::mesh::Address, std::size_t> numbers_;  // of control processes
  std::map<rackroute::mesh::Address, std::shared_ptr<CountedSession>> sessions_;
  std::map<rackroute::mesh::AskNo, Span> claimedAt_;
  sidecar::Loop::TimerId wake_;
  Span wakeAt_{};
  bool wakes_ = false;
  bool ending_ = false;
  bool whole_ = false;
  bool connected_ = false;
  std::uint64_t digest_ = 0;
  std::uint64_t held_ = 0;  // version of the watched route
  std::uint64_t lastRequest_ = 0;
  std::uint64_t beatSequence_ = 0;
  std::uint32_t capacity_;  // of the server here
};

}  // namespace rackroute::lab::mesh
