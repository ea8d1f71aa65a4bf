#pragma once

// Client of the discovery service: a long-lived watch for changes and single calls for the complete list.
// Failed, silent or malformed responses are reported to the dispatcher as failures; the balancer decides
// when to retry.

#include <Poco/Dynamic/Var.h>
#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "sidecar/dispatcher.hpp"
#include "sidecar/loop.hpp"
#include "terms/balancer_settings.hpp"

namespace rackroute::sidecar {

class DiscoveryCall;

/// Parses a numeric address with port. Throws std::invalid_argument otherwise; names are never resolved.
Poco::Net::SocketAddress numericAddress(const std::string& text);

/// Parses a server list in the JSON format of discovery and of the configuration. Throws if it is malformed.
ServerList readList(const Poco::Dynamic::Var& json, settings::NameTable& zones, const Loop& loop,
                    std::uint64_t& index);

class Discovery {
 public:
  Discovery(Loop& loop, Dispatcher& dispatcher, settings::NameTable& zones, Poco::Net::SocketAddress address,
            std::uint64_t index);
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;
  ~Discovery();

  void watch();
  void list();
  /// The current list in discovery's JSON format, for handover to a successor.
  [[nodiscard]] std::string state() const;
  void storeList(const ServerList& list);
  /// Switches to another address. Starts a watch there at once; closing the old one is not reported as a
  /// failure.
  void moveTo(const Poco::Net::SocketAddress& address);

 private:
  friend class DiscoveryCall;

  std::shared_ptr<DiscoveryCall> call(bool watch);
  /// Parses and applies a list. Returns false if it is malformed.
  bool applyList(const std::string& json, bool watch, bool first);

  Loop& loop_;
  Dispatcher& dispatcher_;
  settings::NameTable& zones_;
  Poco::Net::SocketAddress address_;
  std::uint64_t index_;
  std::map<std::string, Poco::JSON::Object::Ptr> entries_;  // by server name
  std::map<DiscoveryCall*, std::shared_ptr<DiscoveryCall>> calls_;
  std::shared_ptr<DiscoveryCall> watch_;
};

}  // namespace rackroute::sidecar
