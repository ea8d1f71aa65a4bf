#pragma once

// HTTP client with connection reuse, for requests to other processes and to the local server. Invariants: a
// response is never delivered to a request that it does not belong to, and a request is never reported as not
// sent when a byte of it may have been written.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/gather_buffer.hpp"
#include "http/message.hpp"
#include "mesh/names.hpp"
#include "sidecar/connection.hpp"

namespace rackroute::mesh {

/// The result of a request.
enum class RequestOutcome {
  completed,
  notSent,            // no byte was written
  partiallySent,      // only part of it was written
  connectionLost,     // it was written, and the connection closed before a complete response
  timedOut,           // no response before the deadline
  malformedResponse,  // an invalid response, or one to another request
};

class HttpClient {
  class ClientConnection;

 public:
  struct Options {
    Span dialTimeout{};                 // for establishing a connection
    Span idleTimeout{};                 // of unused connections; less if the peer announces less
    Span userTimeout{};                 // TCP_USER_TIMEOUT; 0: the system default
    std::size_t maxBodyBytes = 0;       // of a response
    std::size_t maxIdlePerAddress = 0;  // unused connections per address
  };
  using Callback = std::function<void(RequestOutcome, std::shared_ptr<const http::Message>)>;

  /// A handle to cancel a request. May outlive the request, but not the client.
  class RequestHandle {
   public:
    RequestHandle() = default;
    /// Closes the connection of the request, so that the peer notices. The callback is not called. Does
    /// nothing if the request has ended.
    void cancel();

   private:
    friend class HttpClient;
    RequestHandle(std::weak_ptr<ClientConnection> connection, std::uint64_t number)
        : connection_(std::move(connection)), number_(number) {}

    std::weak_ptr<ClientConnection> connection_;
    std::uint64_t number_ = 0;  // of the request, unique within the client
  };

  HttpClient(sidecar::Loop& loop, Options options) : loop_(loop), options_(options) {}
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// Sends a request. attempt: the attempt ID that the response must carry; empty: not checked. deadline:
  /// when to give up waiting for the response. sendBy: latest time to establish a connection, or the request
  /// is not sent. done is called exactly once, in a later turn of the event loop, unless the request is
  /// cancelled.
  RequestHandle send(const Address& to, http::GatherBuffer request, std::string attempt, bool isHead,
                     Span deadline, Callback done, Span sendBy = Span::max());
  [[nodiscard]] std::size_t dialCount() const { return dialCount_; }

 private:
  void release(const std::shared_ptr<ClientConnection>& connection);
  void remove(const ClientConnection* connection);

  sidecar::Loop& loop_;
  Options options_;
  std::map<Address, std::vector<std::shared_ptr<ClientConnection>>> idle_;
  std::map<const ClientConnection*, std::shared_ptr<ClientConnection>> busy_;
  std::size_t dialCount_ = 0;
  std::uint64_t lastNumber_ = 0;
};

}  // namespace rackroute::mesh
