#pragma once

// The application's side: accepts its connections, reads its queries, answers /up, and writes each query's
// one final answer. It owns the listener and the application's connections. It must never drop a query that
// it has read, nor pass one on that the protocol does not allow; which answer a query gets is not its
// business.

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http/gather_buffer.hpp"
#include "http/message.hpp"
#include "rackroute/balancer.hpp"
#include "sidecar/loop.hpp"
#include "terms/balancer_settings.hpp"

namespace rackroute::sidecar {

class ClientConnection;
class Exchange;

class ClientSide {
 public:
  ClientSide(Loop& loop, Exchange& exchange, const settings::ParsedSettings& told);
  ClientSide(const ClientSide&) = delete;
  ClientSide& operator=(const ClientSide&) = delete;
  ~ClientSide();

  /// Shared: another process may listen there as well.
  void listen(const Poco::Net::SocketAddress& address, bool shared);
  /// Goes on with a listening socket that another process made.
  void adopt(const Poco::Net::ServerSocket& listener);
  [[nodiscard]] const Poco::Net::ServerSocket& listener() const { return listener_; }
  /// While another process accepts what comes: takes in no connections, and ends each with its next answer.
  void yield(bool to);
  /// The final answers. A client that has left gets none.
  void complete(QueryId query, const std::shared_ptr<const http::Message>& answer);
  /// An answer that is passed on as it comes: its head, its parts (true: enough waits, see answerWanted()),
  /// and its end or that there is none.
  void begin(QueryId query, const std::shared_ptr<const http::Message>& head);
  bool part(QueryId query, std::string data);
  void last(QueryId query);
  void cut(QueryId query);
  /// Whether the rest of a query's body is to wait.
  void pauseBody(QueryId query, bool pause);
  void reject(QueryId query, Span comeBackAfter);
  void abort(QueryId query);
  /// The final answer to one that servers refuse as none that a client may send.
  void turnAway(QueryId query);
  /// Goes on taking what still comes, and calls back once all of it is answered.
  void stop(std::function<void()> stopped);
  /// Of so many descriptors in all the application's connections get their share.
  void limitDescriptors(std::size_t all);
  /// Bytes that may wait to be written on one connection.
  void limitBacklog(std::size_t most) { mostBacklog_ = most; }
  /// Closes the connection that is least needed. False: all are.
  bool freeDescriptor();

 private:
  friend class ClientConnection;

  void accept(Poco::Net::ReadableNotification* event);
  bool acceptOne();  // false: not now
  void listening(bool on);
  /// Who waits for the query's final answer, and now gets it; null: nobody.
  ClientConnection* release(QueryId query);
  void answer(QueryId query, http::GatherBuffer pieces);
  [[nodiscard]] bool crowded() const;
  void closeListener();
  void ended(ClientConnection& connection);
  [[nodiscard]] std::vector<std::shared_ptr<ClientConnection>> all() const;

  Loop& loop_;
  Exchange& exchange_;
  const settings::ParsedSettings& told_;
  Poco::Net::ServerSocket listener_;
  std::map<ClientConnection*, std::shared_ptr<ClientConnection>> connections_;
  std::map<QueryId, ClientConnection*> waiting_;
  std::set<std::string, std::less<>> openIds_;  // of queries in flight, as they came
  std::size_t most_ = 1;                        // connections
  std::size_t mostBacklog_ = 64 * 1024;
  std::uint32_t lastQuery_ = 0;
  std::function<void()> stopped_;
  bool listening_ = false;
  bool yields_ = false;
  bool closed_ = false;
};

}  // namespace rackroute::sidecar
