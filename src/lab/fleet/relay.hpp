#pragma once

// Relays datagrams and connections between members that are real processes: binds the address that each
// member advertises and forwards to the address it listens on, subject to the active faults. Loopback only.

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/fleet/drill_network.hpp"
#include "sidecar/loop.hpp"

namespace rackroute::lab {

class RelayLink;

class Relay {
 public:
  /// Called for each datagram and each chunk of a connection.
  using TrafficObserver = std::function<void(std::uint32_t from, std::uint32_t to, std::size_t bytes)>;

  /// Network: second octet of all addresses, 127.N.x.x. Places: the members, followed by a twin.
  Relay(sidecar::Loop& loop, DrillNetwork& drillNetwork, std::uint32_t network, std::uint32_t members,
        std::uint32_t places, TrafficObserver sent, TrafficObserver received);
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  ~Relay();

  /// The address a member listens on, and the one it advertises.
  [[nodiscard]] std::string listenAddress(std::uint32_t place, std::uint16_t port) const;
  [[nodiscard]] std::string advertisedAddress(std::uint32_t place) const;
  /// Opens a relay to the given address for the member and returns the relay's address. Traffic passes in
  /// both directions while `allowed` returns true.
  std::string forward(std::uint32_t member, const std::string& address, std::function<bool()> allowed);
  /// Last time that traffic between the member and an outside address was dropped, by the loop's clock.
  [[nodiscard]] Span lastLossAt(std::uint32_t member) const { return lastLoss_[member]; }

 private:
  friend class RelayLink;

  struct Place {
    Poco::Net::DatagramSocket datagrams;
    Poco::Net::ServerSocket listener;
  };
  enum class Kind { datagrams, exchanges, forward };
  struct Socket {
    std::uint32_t place;
    Kind kind;
  };
  struct ForwardedAddress {  // relay to an address outside the members
    Poco::Net::ServerSocket listener;
    std::uint32_t member;
    std::string address;
    std::function<bool()> allowed;
  };
  void readable(Poco::Net::ReadableNotification* event);
  void watch(const Poco::Net::Socket& socket, std::uint32_t place, Kind kind);
  void read(std::uint32_t place);
  void accept(std::uint32_t place);
  void acceptForward(const ForwardedAddress& forward);
  /// A non-empty `allowed` marks traffic to an outside address.
  void join(const Poco::Net::StreamSocket& socket, std::uint32_t from, std::uint32_t to,
            const std::string& address, const std::function<bool()>& allowed);
  [[nodiscard]] std::uint32_t memberOf(std::uint32_t place) const {
    return place < members_ ? place : members_ - 1;
  }

  sidecar::Loop& loop_;
  DrillNetwork& drillNetwork_;
  std::uint32_t network_;
  std::uint32_t members_;
  TrafficObserver sent_;
  TrafficObserver received_;
  std::vector<std::unique_ptr<Place>> places_;
  std::vector<Span> lastLoss_;                                 // by member
  std::map<int, std::unique_ptr<ForwardedAddress>> forwards_;  // by descriptor
  std::map<int, Socket> sockets_;                              // by descriptor
  std::map<RelayLink*, std::shared_ptr<RelayLink>> links_;
};

}  // namespace rackroute::lab
