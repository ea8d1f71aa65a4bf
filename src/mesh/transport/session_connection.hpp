#pragma once

// One session of the mesh's own session: words as JSON, a line each; long ones packed, behind a line with
// their sizes. It owns what is read and not yet a whole word; it must never hand on half a word, nor take one
// without end.

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
  struct Ends {
    std::function<void()> up;
    std::function<void(const nlohmann::json&)> heard;
    std::function<void()> some;  // bytes of a word that is not whole yet
    std::function<void()> over;  // once, also for a dial that failed
  };
  /// compressor: of the whole process; it must outlive the session.
  SessionConnection(sidecar::Loop& loop, Compressor& compressor, Poco::Net::StreamSocket socket,
                    std::string peer)
      : Connection(loop, "session", std::move(socket), peer),
        compressor_(compressor),
        name_(std::move(peer)) {}

  void accepted(Ends ends);
  void connect(const Address& to, Span within, Ends ends);
  /// One word, without the end of its line.
  void say(std::shared_ptr<const std::string> text);
  [[nodiscard]] const std::string& name() const { return name_; }

 protected:
  void opened() override;
  void received() override;
  void gone(sidecar::Reason reason) override;

 private:
  /// The bytes up to its end, taken as a word; false: the session is over.
  bool hear(std::string_view text);
  enum class Piece { none, word, bad };
  Piece packedWord(std::size_t& from, std::size_t line);

  Compressor& compressor_;
  std::string name_;
  Ends ends_;
  sidecar::Loop::TimerId dialTimer_;
  std::size_t scanned_ = 0;
};

}  // namespace rackroute::mesh
