#pragma once

// Discovery as the balancer asks for it: a watch on changes and calls for the whole list. It owns the
// connections to discovery and the version of the list last told. It must never make up a list: what fails,
// falls silent or can't be parsed is told as a failure. When to ask again is not its business.

#include <Poco/Dynamic/Var.h>
#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "sidecar/exchange.hpp"
#include "sidecar/loop.hpp"
#include "terms/balancer_settings.hpp"

namespace rackroute::sidecar {

class DiscoveryCall;

/// An address in numbers; anything else throws, as no name is ever looked up.
Poco::Net::SocketAddress numericAddress(const std::string& text);

/// A list in discovery's form, which the configuration shares; throws what is wrong with it.
Listed readList(const Poco::Dynamic::Var& json, settings::NameTable& zones, const Loop& loop,
                std::uint64_t& index);

class Discovery {
 public:
  Discovery(Loop& loop, Exchange& exchange, settings::NameTable& zones, Poco::Net::SocketAddress address,
            std::uint64_t index);
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;
  ~Discovery();

  void watch();
  void list();
  /// The list as it stands, in discovery's form: what a successor goes on with.
  [[nodiscard]] std::string state() const;
  void keep(const Listed& listed);
  /// Goes on at another address: a watch stands there at once, and leaving the old one is no failure.
  void moveTo(const Poco::Net::SocketAddress& address);

 private:
  friend class DiscoveryCall;

  std::shared_ptr<DiscoveryCall> call(bool watch);
  /// False: it can't be parsed.
  bool told(const std::string& json, bool watch, bool first);

  Loop& loop_;
  Exchange& exchange_;
  settings::NameTable& zones_;
  Poco::Net::SocketAddress address_;
  std::uint64_t index_;
  std::map<std::string, Poco::JSON::Object::Ptr> entries_;  // by name
  std::map<DiscoveryCall*, std::shared_ptr<DiscoveryCall>> calls_;
  std::shared_ptr<DiscoveryCall> watch_;
};

}  // namespace rackroute::sidecar
