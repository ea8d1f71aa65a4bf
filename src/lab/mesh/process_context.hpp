#pragma once

// State shared by the parts of a mesh of real processes on loopback: machine addresses, event loop and clock,
// judge, and the format of server responses.

#include <charconv>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.hpp"
#include "lab/mesh/day.hpp"
#include "lab/mesh/judge.hpp"
#include "lab/mesh/workload.hpp"
#include "mesh/names.hpp"
#include "mesh/transport/http_client.hpp"
#include "sidecar/loop.hpp"

namespace rackroute::lab::mesh {

/// The ports, identical on all machines.
enum class Port : int {
  ready = 8141,
  control = 8144,
  server = 8145,
  inbound = 8146,
  outbound = 8147,
  behindRelay = 8148,  // inbound listener of a sidecar behind a relay
};

/// Maps machine numbers to names and addresses; control processes have the lowest numbers.
class MachineMap {
 public:
  /// network: second octet of all addresses, 127.N.x.x.
  MachineMap(const Day& day, std::uint32_t network) : day_(day), network_(network) {}

  [[nodiscard]] bool isControl(std::uint32_t machine) const { return machine < day_.controls; }
  [[nodiscard]] std::uint32_t numberOf(std::uint32_t machine) const {
    return isControl(machine) ? machine : machine - day_.controls;
  }
  [[nodiscard]] std::uint32_t sidecarMachine(std::uint32_t number) const {
    return day_.controls + number % day_.sidecars;
  }
  [[nodiscard]] std::string nameOf(std::uint32_t machine) const {
    return (isControl(machine) ? "v" : "s") + std::to_string(numberOf(machine));
  }
  [[nodiscard]] std::string ipOf(std::uint32_t machine) const {
    return "127." + std::to_string(network_) + (isControl(machine) ? ".1." : ".2.") +
           std::to_string(numberOf(machine) + 1);
  }
  [[nodiscard]] rackroute::mesh::Address addressOf(std::uint32_t machine, Port port) const {
    return {ipOf(machine) + ':' + std::to_string(static_cast<int>(port))};
  }
  [[nodiscard]] std::string zoneOf(std::uint32_t machine) const {
    return "z" + std::to_string(numberOf(machine) % day_.zones);
  }
  /// The service of the server on a sidecar's machine.
  [[nodiscard]] int serviceOf(std::uint32_t machine) const { return static_cast<int>(numberOf(machine) % 2); }

 private:
  const Day& day_;
  std::uint32_t network_;
};

/// Owned by the run, which outlives the parts that refer to it.
struct ProcessContext {
  const Day& day;
  sidecar::Loop& loop;
  Judge& judge;
  rackroute::mesh::HttpClient& httpClient;
  const MachineMap& machines;
  std::function<void(const std::string&)> logEvent;
  Span startTime{};  // loop time at the start of the run
  Span loadEnd{};    // end of the request load, relative to the start

  [[nodiscard]] Span now() const { return loop.now() - startTime; }
};

inline constexpr std::string_view kSealHeader = "Rackroute-Server-Seal";

inline std::string attemptIdHex(std::uint64_t attempt) {
  std::string digits(16, '0');
  for (std::size_t i = 16; i-- > 0; attempt >>= 4) digits[i] = "0123456789abcdef"[attempt & 15];
  return digits;
}

/// The value of an integer header field; nullopt if it is missing or malformed.
inline std::optional<std::uint64_t> integerField(const http::Message& message, std::string_view field,
                                                 int base) {
  const auto text = message.field(field);
  std::uint64_t number = 0;
  if (!text) return std::nullopt;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), number, base);
  if (error != std::errc{} || end != text->data() + text->size()) return std::nullopt;
  return number;
}

/// The response body of an execution: at least 500 bytes that repeat its attempt and seal.
inline std::string executionBody(std::uint64_t attempt, std::uint64_t seal) {
  const std::string piece = attemptIdHex(attempt) + '/' + std::to_string(seal) + ' ';
  std::string body;
  while (body.size() < 500) body += piece;
  return body;
}

}  // namespace rackroute::lab::mesh
