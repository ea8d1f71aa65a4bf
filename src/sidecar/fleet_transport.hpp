#pragma once

// Network transport of the fleet membership protocol: UDP datagrams, and TCP connections for exchanging
// complete views. Owns the sockets and the membership, and implements its host interface. Source addresses
// of datagrams are not trusted: replies go to the address that the sender advertises in its message.

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
#include "sidecar/fleet_config.hpp"
#include "sidecar/loop.hpp"

namespace rackroute::sidecar {

class FleetLink;

class FleetTransport : public fleet::MembershipHost {
 public:
  /// `sizeChanged` is called with the safe member count at the start and on each change.
  FleetTransport(Loop& loop, FleetConfig config, std::uint64_t seed,
                 std::function<void(std::uint32_t)> sizeChanged);
  ~FleetTransport() override;
  FleetTransport(const FleetTransport&) = delete;
  FleetTransport& operator=(const FleetTransport&) = delete;

  /// Joins the fleet. Throws if the listening address is not available.
  void start();
  /// Joins the fleet, retrying while another process holds the listening address.
  void startWhenFree();
  /// Takes the member's place from a previous process, given its state().
  void resume(const std::string& state);
  [[nodiscard]] std::string state() const;
  /// Hands this member's place to another process, or takes it back after that process has ended.
  void setYielding(bool yielding);
  void leave();

  [[nodiscard]] std::string json() const;
  void writeMetrics(std::ostream& out) const;

 private:
  friend class FleetLink;

  void send(const std::string& address, const fleet::Message& message) override;
  void exchange(const std::string& address) override;
  void memberChanged(const fleet::MemberRecord& member, std::optional<fleet::State> previous) override;
  void nameConflict(bool taken, const std::string& by) override;

  void open();
  void close();
  void readable(Poco::Net::ReadableNotification* event);
  void read();
  bool admitDatagram(std::uint32_t source);
  void accept(Poco::Net::ReadableNotification* event);
  void membershipUpdated();
  void logChanges();
  [[nodiscard]] std::size_t maxViewBytes() const;
  [[nodiscard]] bool spendBytes(std::size_t bytes, double minBudget);

  struct Change {
    fleet::MemberInfoPtr info;
    fleet::State state;
    std::optional<fleet::State> previous;
  };

  Loop& loop_;
  FleetConfig config_;
  std::function<void(std::uint32_t)> sizeChanged_;
  fleet::Membership membership_;
  std::optional<Poco::Net::DatagramSocket> socket_;
  std::optional<Poco::Net::ServerSocket> listener_;
  std::map<FleetLink*, std::shared_ptr<FleetLink>> links_;
  Loop::TimerId wakeTimer_;
  Span wakeAt_ = Span::max();
  Loop::TimerId bindRetryTimer_;
  std::vector<Change> changes_;
  std::unordered_map<std::uint32_t, std::uint32_t> datagramsBySource_;  // in the current one-second window
  std::uint32_t datagramsInWindow_ = 0;
  Span rateWindowStart_{};
  double sendBudgetBytes_ = 0;
  Span budgetUpdatedAt_{};
  std::size_t safeCount_ = 0;
  fleet::Connectivity connectivity_ = fleet::Connectivity::isolated;
  bool left_ = false;
  std::uint64_t messagesIn_ = 0;
  std::uint64_t messagesOut_ = 0;
  std::uint64_t bytesIn_ = 0;
  std::uint64_t bytesOut_ = 0;
  std::uint64_t exchanges_ = 0;
  std::uint64_t heldBack_ = 0;    // not sent, as over the send budget
  std::uint64_t floodDrops_ = 0;  // dropped by the rate limit
  std::array<std::uint64_t, fleet::kDecodeErrors> rejected_{};
};

}  // namespace rackroute::sidecar
