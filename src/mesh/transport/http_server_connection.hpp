#pragma once

// A server-side HTTP connection. Reads requests one at a time, each with its complete body, and writes the
// responses. Invariant: a response is never sent to a request that it does not belong to.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "http/message.hpp"
#include "sidecar/connection.hpp"

namespace rackroute::mesh {

class HttpServerConnection : public sidecar::Connection {
 public:
  /// The callbacks, limits and state shared by all connections of a listener.
  struct ListenerContext {
    std::function<void(const std::shared_ptr<HttpServerConnection>&, std::shared_ptr<const http::Message>)>
        onRequest;
    std::function<void(HttpServerConnection&)> onAbandoned;  // the connection closed before the response
    std::size_t maxBodyBytes = http::kMaxBodyBytes;
    Span headerTimeout = std::chrono::seconds(3);  // from the first byte of a request to the end of its head
    Span bodyTimeout = std::chrono::seconds(10);   // from the end of the head to the end of the body
    Span idleTimeout = std::chrono::seconds(15);
    bool draining = false;  // each connection is closed after its next response
    /// All open connections.
    std::map<const HttpServerConnection*, std::shared_ptr<HttpServerConnection>> connections{};
    /// Whether the bytes of all responses have been passed to the system.
    [[nodiscard]] bool allWritten() const {
      return std::all_of(connections.begin(), connections.end(),
                         [](const auto& entry) { return entry.second->Connection::allWritten(); });
    }
  };
  HttpServerConnection(sidecar::Loop& loop, std::shared_ptr<ListenerContext> context,
                       Poco::Net::StreamSocket socket, std::string peer);

  void start();
  /// Sends a response. fields: complete header lines; Content-Length is added.
  void respond(std::uint32_t status, std::string_view fields, std::string_view body);
  /// Relays a response from another connection with additional header lines, without the header `excluded`.
  void relay(const std::shared_ptr<const http::Message>& message, std::string_view fields,
             std::string_view excluded = {});
  [[nodiscard]] bool hasRequest() const { return request_ != nullptr; }

 protected:
  void received() override;
  void closed(sidecar::CloseReason reason) override;

 private:
  void reject(std::uint32_t status);
  void startTimer();
  void sendResponse(http::GatherBuffer pieces, bool close);
  [[nodiscard]] bool closesAfterResponse() const;

  std::shared_ptr<ListenerContext> context_;
  http::Reader reader_;
  std::shared_ptr<const http::Message> request_;
  sidecar::Loop::TimerId timer_;
  Span receivingSince_{-1};
  bool headerSeen_ = false;
};

/// The status code with its reason phrase.
std::string_view statusText(std::uint32_t status);

}  // namespace rackroute::mesh
