#pragma once

// A session between mesh processes. Messages are JSON, one per line; large ones are compressed and preceded
// by a line with their sizes. Only complete messages are delivered, and their size is limited.

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "mesh/names.hpp"
#include "mesh/transport/compression.hpp"
#include "sidecar/connection.hpp"

namespace rackroute::mesh {

class SessionConnection : public sidecar::Connection {
 public:
  struct Callbacks {
    std::function<void()> onOpened;
    std::function<void(const nlohmann::json&)> onMessage;
    std::function<void()> onPartial;  // part of a message was received
    std::function<void()> onClosed;   // once, also for a failed dial
  };
  /// compressor: shared by all sessions of the process; must outlive them.
  SessionConnection(sidecar::Loop& loop, Compressor& compressor, Poco::Net::StreamSocket socket,
                    std::string peer)
      : Connection(loop, "session", std::move(socket), peer),
        compressor_(compressor),
        name_(std::move(peer)) {}

  void accepted(Callbacks callbacks);
  void connect(const Address& address, Span timeout, Callbacks callbacks);
  /// text: one message, without a line end.
  void sendMessage(std::shared_ptr<const std::string> text);
  [[nodiscard]] const std::string& name() const { return name_; }

 protected:
  void opened() override;
  void received() override;
  void closed(sidecar::CloseReason reason) override;

 private:
  /// Parses and delivers one message; returns false if the session has ended.
  bool deliver(std::string_view text);
  enum class ReadResult { incomplete, message, malformed };
  ReadResult readCompressed(std::size_t& from, std::size_t line);

  Compressor& compressor_;
  std::string name_;
  Callbacks callbacks_;
  sidecar::Loop::TimerId dialTimer_;
  std::size_t scanned_ = 0;
};

}  // namespace rackroute::mesh
