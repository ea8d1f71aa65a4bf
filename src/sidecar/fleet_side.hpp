#pragma once

// The fleet's other members on the network: datagrams and, for whole views, connections, all on the one loop
// and leaving from the listening address. It owns the sockets and the membership, whose surroundings it is.
// It must never trust where a datagram comes from: a peer is what its message says, and is answered at the
// address it advertises. What members believe of each other is decided in src/fleet/.

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/membership.hpp"
#include "fleet/wire.hpp"
#include "sidecar/fleet_told.hpp"
#include "sidecar/loop.hpp"

namespace rackroute::sidecar {

class FleetLink;

class FleetSide : public fleet::MembershipHost {
 public:
  /// Counted: called with the safe count of members at the start and each time that it changes.
  FleetSide(Loop& loop, FleetTold told, std::uint64_t seed, std::function<void(std::uint32_t)> counted);
  ~FleetSide() override;
  FleetSide(const FleetSide&) = delete;
  FleetSide& operator=(const FleetSide&) = delete;

  /// Takes part from here on; throws if its address can't be had.
  void start();
  /// The same, but waits for the address where another process still has it.
  void startWhenFree();
  /// In place of the process whose state this is, once that one has stepped back.
  void succeed(const std::string& state);
  [[nodiscard]] std::string state() const;
  /// Another process takes this member's place, or has ended and this one goes on.
  void yield(bool yes);
  void leave();

  [[nodiscard]] std::string json() const;
  void figures(std::ostream& out) const;

 private:
  friend class FleetLink;

  void send(const std::string& address, const fleet::Message& message) override;
  void exchange(const std::string& address) override;
  void memberChanged(const fleet::MemberRecord& member, std::optional<fleet::State> was) override;
  void nameConflict(bool taken, const std::string& by) override;

  void open();
  void close();
  void readable(Poco::Net::ReadableNotification* event);
  void read();
  bool mayRead(std::uint32_t source);
  void accept(Poco::Net::ReadableNotification* event);
  void settled();
  void tellChanges();
  [[nodiscard]] std::size_t longestWhole() const;
  [[nodiscard]] bool spend(std::size_t bytes, double least);

  struct Change {
    fleet::MemberInfoPtr info;
    fleet::State state;
    std::optional<fleet::State> was;
  };

  Loop& loop_;
  FleetTold told_;
  std::function<void(std::uint32_t)> counted_;
  fleet::Membership membership_;
  std::optional<Poco::Net::DatagramSocket> socket_;
  std::optional<Poco::Net::ServerSocket> listener_;
  std::map<FleetLink*, std::shared_ptr<FleetLink>> links_;
  Loop::TimerId wake_;
  Span wakeAt_ = Span::max();
  Loop::TimerId again_;
  std::vector<Change> changes_;
  std::unordered_map<std::uint32_t, std::uint32_t> sources_;  // datagrams of this second
  std::uint32_t received_ = 0;                                // in this second
  Span second_{};
  double allowance_ = 0;  // bytes
  Span allowedAt_{};
  std::size_t safe_ = 0;
  fleet::Connectivity hearing_ = fleet::Connectivity::isolated;
  bool left_ = false;
  std::uint64_t messagesIn_ = 0;
  std::uint64_t messagesOut_ = 0;
  std::uint64_t bytesIn_ = 0;
  std::uint64_t bytesOut_ = 0;
  std::uint64_t exchanges_ = 0;
  std::uint64_t held_ = 0;    // not sent, over the bytes allowed
  std::uint64_t floods_ = 0;  // dropped unread
  std::array<std::uint64_t, fleet::kDecodeErrors> refused_{};
};

}  // namespace rackroute::sidecar
