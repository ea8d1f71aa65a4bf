#pragma once

/// A session with a control process that counts its bytes in both directions.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include "lab/mesh/hollow_board.hpp"
#include "mesh/transport/compression.hpp"
#include "mesh/transport/session_connection.hpp"

namespace rackroute::lab::mesh {

/// A session that counts its bytes.
class CountedSession : public rackroute::mesh::SessionConnection {
 public:
  CountedSession(sidecar::Loop& loop, rackroute::mesh::Compressor& compressor, std::string peer,
                 SessionTraffic& traffic)
      : SessionConnection(loop, compressor, Poco::Net::StreamSocket(), std::move(peer)), traffic_(traffic) {}

  /// Takes what was written since the last call into account.
  void countWritten() {
    const std::uint64_t written = moved() - read_;
    traffic_.bytesToControl += written - countedWritten_;
    countedWritten_ = written;
  }

 protected:
  void received() override {
    const std::uint64_t fresh = in_.size() - std::min(in_.size(), unused_);
    read_ += fresh;
    traffic_.bytesFromControl += fresh;
    SessionConnection::received();
    unused_ = in_.size();
    if (!ended()) countWritten();
  }

 private:
  SessionTraffic& traffic_;
  std::size_t unused_ = 0;  // bytes of in_ that were counted already
  std::uint64_t read_ = 0;
  std::uint64_t countedWritten_ = 0;
};

}  // namespace rackroute::lab::mesh
