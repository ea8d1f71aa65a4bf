#pragma once

// Client-facing HTTP listener: accepts connections, validates queries, answers /up and writes exactly one
// final response per query. It owns the listening socket and the client connections; the dispatcher decides
// which response a query gets.

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
class Dispatcher;

class ClientListener {
 public:
  ClientListener(Loop& loop, Dispatcher& dispatcher, const settings::ParsedSettings& settings);
  ClientListener(const ClientListener&) = delete;
  ClientListener& operator=(const ClientListener&) = delete;
  ~ClientListener();

  /// `shared` allows another process to listen on the same address.
  void listen(const Poco::Net::SocketAddress& address, bool shared);
  /// Takes over a listening socket inherited from another process.
  void adopt(const Poco::Net::ServerSocket& listener);
  [[nodiscard]] const Poco::Net::ServerSocket& listener() const { return listener_; }
  /// While yielding to another process, accepts no connections and closes each one after its next response.
  void setYielding(bool yielding);
  /// Writes the final response; does nothing if the client has left.
  void complete(QueryId query, const std::shared_ptr<const http::Message>& response);
  /// Streams a response: its head, body parts, and either its end or a truncation by reset. responsePart()
  /// returns true when the sender should pause until Dispatcher::resumeResponse().
  void beginResponse(QueryId query, const std::shared_ptr<const http::Message>& head);
  bool responsePart(QueryId query, std::string data);
  void endResponse(QueryId query);
  void truncateResponse(QueryId query);
  /// Pauses or resumes reading a query's body.
  void pauseBody(QueryId query, bool pause);
  void reject(QueryId query, Span retryAfter);
  void abort(QueryId query);
  /// Answers 400 to a query that a server refused as invalid.
  void rejectInvalid(QueryId query);
  /// Shuts down gracefully: keeps accepting for a short while and calls back once all queries are answered.
  void stop(std::function<void()> stopped);
  /// Sets the process's descriptor limit, of which client connections use a fixed share.
  void limitDescriptors(std::size_t all);
  /// Limits the bytes buffered for writing on one connection.
  void limitUnsentBytes(std::size_t limit) { maxUnsentBytes_ = limit; }
  /// Closes the connection with the lowest eviction priority. Returns false if none can be closed.
  bool freeDescriptor();

 private:
  friend class ClientConnection;

  void accept(Poco::Net::ReadableNotification* event);
  bool acceptOne();  // false: stop accepting in this turn
  void setAccepting(bool on);
  /// Removes and returns the connection that waits for the query's response; null if there is none.
  ClientConnection* takeWaiting(QueryId query);
  void respond(QueryId query, http::GatherBuffer pieces);
  [[nodiscard]] bool crowded() const;
  void closeListener();
  void connectionEnded(ClientConnection& connection);
  [[nodiscard]] std::vector<std::shared_ptr<ClientConnection>> openConnections() const;

  Loop& loop_;
  Dispatcher& dispatcher_;
  const settings::ParsedSettings& settings_;
  Poco::Net::ServerSocket listener_;
  std::map<ClientConnection*, std::shared_ptr<ClientConnection>> connections_;
  std::map<QueryId, ClientConnection*> waiting_;
  std::set<std::string, std::less<>> requestIdsInFlight_;
  std::size_t maxConnections_ = 1;
  std::size_t maxUnsentBytes_ = 64 * 1024;
  std::uint32_t lastQuery_ = 0;
  std::function<void()> onStopped_;
  bool accepting_ = false;
  bool yielding_ = false;
  bool closed_ = false;
};

}  // namespace rackroute::sidecar
