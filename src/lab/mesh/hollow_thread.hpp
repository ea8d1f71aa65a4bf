#pragma once

/// One thread of a hollow run: its part of the sidecars on one loop, and the claims and news that they make.

#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

#include "lab/draws.hpp"
#include "lab/mesh/hollow_board.hpp"
#include "lab/mesh/hollow_sidecar.hpp"
#include "mesh/transport/compression.hpp"
#include "mesh/transport/event_loop.hpp"

namespace rackroute::lab::mesh {

class HollowThread {
 public:
  HollowThread(Board& board, std::uint32_t number, std::uint64_t seed,
               std::vector<HollowIdentity> identities);
  HollowThread(const HollowThread&) = delete;
  HollowThread& operator=(const HollowThread&) = delete;
  ~HollowThread() { join(); }

  /// The sidecars start one after the other; rates of this thread's share, in events a second.
  void start(Span over, double news, double claims);
  /// Ends all sidecars, and the thread with them.
  void join();

  /// After join() only.
  void collectClaims(std::vector<double>& won, std::uint64_t& refused) const;
  /// After join() only: how late this thread's latest timer was.
  [[nodiscard]] double latestTimerMilliseconds() const;

 private:
  HollowSidecar& any();
  void drawNews(double rate);
  void drawClaims(double rate);

  Board& board_;
  std::uint32_t number_;
  Chance chance_;
  rackroute::mesh::EventLoop loop_;
  rackroute::mesh::Compressor compressor_;
  std::vector<std::unique_ptr<HollowSidecar>> sidecars_;
  std::uint64_t keys_ = 0;
  std::thread thread_;
};

}  // namespace rackroute::lab::mesh
