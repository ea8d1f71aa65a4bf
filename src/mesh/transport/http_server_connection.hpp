#pragma once

// One connection on which HTTP requests come: reads them whole, one at a time, and writes the answers. It
// owns what is read and not yet handed on; it must never let an answer go to a request that it does not
// belong to.

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
  struct Shared {  // what all connections at one address share
    std::function<void(const std::shared_ptr<HttpServerConnection>&, std::shared_ptr<const http::Message>)>
        asked;
    std::function<void(HttpServerConnection&)> left;  // before its answer
    std::size_t mostBody = http::kMaxBodyBytes;
    Span header = std::chrono::seconds(3);  // from a request's first byte to its head's last
    Span body = std::chrono::seconds(10);   // from there to its body's last byte
    Span idle = std::chrono::seconds(15);
    bool closing = false;  // the process leaves: each connection ends with its next answer
    std::map<const HttpServerConnection*, std::shared_ptr<HttpServerConnection>>
        connections{};  // all that are there
  };
  HttpServerConnection(sidecar::Loop& loop, std::shared_ptr<Shared> shared, Poco::Net::StreamSocket socket,
                       std::string peer);

  void start();
  /// fields: whole lines. The body goes out with its length.
  void answer(std::uint32_t status, std::string_view fields, std::string_view body);
  /// An answer read elsewhere, with more fields (whole lines); but: a field of it that is left out.
  void pass(const std::shared_ptr<const http::Message>& message, std::string_view fields,
            std::string_view but = {});
  [[nodiscard]] bool asking() const { return request_ != nullptr; }

 protected:
  void received() override;
  void gone(sidecar::Reason reason) override;

 private:
  void refuse(std::uint32_t status);
  void await();
  void answered(http::GatherBuffer pieces, bool close);
  [[nodiscard]] bool closes() const;

  std::shared_ptr<Shared> shared_;
  http::Reader reader_;
  std::shared_ptr<const http::Message> request_;
  sidecar::Loop::TimerId timer_;
  Span begunAt_{-1};
  bool headerSeen_ = false;
};

std::string_view phraseOf(std::uint32_t status);

}  // namespace rackroute::mesh
