#pragma once

// Requests sent over HTTP to other processes and to the server here, over connections that are kept. It owns
// the connections; it must never give an answer to a request that it does not belong to, and never say that
// something was not sent when a byte of it may have been.

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

/// How a request ended.
enum class RequestOutcome {
  answered,
  notSent,   // no byte of it was written
  notWhole,  // a part of it was written, and the rest never will be
  broken,    // it was written, and the connection ended without a whole answer
  silent,    // no answer in time
  spoilt,    // bytes that are no answer to it
};

class HttpClient {
  class ClientConnection;

 public:
  struct Terms {
    Span dial{};    // for a connection to come up
    Span idle{};    // a connection is kept unused, unless its peer says less
    Span unread{};  // without word of a peer's kernel, a connection is over; 0: as the kernel has it
    std::size_t mostAnswer = 0;  // bytes of a body
    std::size_t mostIdle = 0;    // connections kept for one address
  };
  using Done = std::function<void(RequestOutcome, std::shared_ptr<const http::Message>)>;

  /// A request under way, for who may want to cancel it. May outlive the request, not the client.
  class InFlight {
   public:
    InFlight() = default;
    /// Ends the connection that the request is on, so that its peer knows; done is not called any more.
    /// Nothing happens where the request has ended.
    void cancel();

   private:
    friend class HttpClient;
    InFlight(std::weak_ptr<ClientConnection> connection, std::uint64_t number)
        : connection_(std::move(connection)), number_(number) {}

    std::weak_ptr<ClientConnection> connection_;
    std::uint64_t number_ = 0;  // of the request among those of all connections
  };

  HttpClient(sidecar::Loop& loop, Terms terms) : loop_(loop), terms_(terms) {}
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// attempt: what an answer must name to be this request's; empty: any does. done is called exactly once, in
  /// a later turn, unless it is cancelled; until: silence is the end of it then; sendBy: without a connection
  /// by then it is not sent.
  InFlight send(const Address& to, http::GatherBuffer request, std::string attempt, bool headOnly, Span until,
                Done done, Span sendBy = Span::max());
  [[nodiscard]] std::size_t dialled() const { return dialled_; }

 private:
  void release(const std::shared_ptr<ClientConnection>& way);
  void forget(const ClientConnection* way);

  sidecar::Loop& loop_;
  Terms terms_;
  std::map<Address, std::vector<std::shared_ptr<ClientConnection>>> idle_;
  std::map<const ClientConnection*, std::shared_ptr<ClientConnection>> busy_;
  std::size_t dialled_ = 0;
  std::uint64_t requests_ = 0;
};

}  // namespace rackroute::mesh
