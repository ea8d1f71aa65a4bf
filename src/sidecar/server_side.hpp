#pragma once

// The servers' side: one connection an execution, kept for the next, and what became of each execution in the
// protocol's terms. It owns the connections to servers and the addresses they go to. It must never send an
// execution twice, use a connection again after an answer it did not read whole, or tell that something never
// ran when its last byte was written; which server gets what is not its business.

#include <Poco/Net/SocketAddress.h>

#include <cstddef>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "http/message.hpp"
#include "rackroute/balancer.hpp"
#include "sidecar/loop.hpp"
#include "terms/balancer_settings.hpp"

namespace rackroute::sidecar {

class Exchange;
class ServerConnection;
struct Listed;

struct ExecutionKey {
  QueryId query;
  ExecutionNo no;
  auto operator<=>(const ExecutionKey&) const = default;
};

class ServerSide {
 public:
  ServerSide(Loop& loop, Exchange& exchange, const settings::ParsedSettings& told);
  ServerSide(const ServerSide&) = delete;
  ServerSide& operator=(const ServerSide&) = delete;
  ~ServerSide();

  void listed(const Listed& listed);
  void execute(ExecutionKey execution, ServerId server, const std::shared_ptr<const http::Message>& query,
               Span timeout, bool coming = false);
  /// More of the body of an execution that was sent while it was coming. True: it is to wait, see
  /// bodyWanted().
  bool bodyPart(ExecutionKey execution, std::string data, bool last);
  void pauseAnswer(ExecutionKey execution, bool pause);
  void cancel(ExecutionKey execution);
  /// Only if its body is not whole.
  void cancelComing(ExecutionKey execution);
  /// Keeps no idle connection to one that is taken out.
  void takenOut(ServerId server, bool out);
  /// Executions get no more connections than this, so that some descriptors stay for others.
  void limitConnections(std::size_t most) { most_ = most; }
  /// Bytes that may wait to be written on one connection.
  void limitBacklog(std::size_t most) { mostBacklog_ = most; }
  /// Closes the connection that has been idle for longest. False: none is idle.
  bool freeDescriptor();

 private:
  friend class ServerConnection;

  std::shared_ptr<ServerConnection> idleTo(ServerId server);
  std::shared_ptr<ServerConnection> dial(ServerId server);

  Loop& loop_;
  Exchange& exchange_;
  Span dialTimeout_;
  Span idleLimit_;
  struct Place {
    Poco::Net::SocketAddress address;
    Span goneAt = Span::max();
  };

  void closeIdle(ServerId server);

  std::map<ServerId, Place> places_;
  std::set<ServerId> out_;  // by hand
  std::size_t mostBacklog_ = 64 * 1024;
  std::size_t most_ = std::numeric_limits<std::size_t>::max();
  std::map<ServerConnection*, std::shared_ptr<ServerConnection>> connections_;
  std::list<ServerConnection*> idle_;  // the longest idle first
  std::map<ExecutionKey, ServerConnection*> executions_;
};

}  // namespace rackroute::sidecar
