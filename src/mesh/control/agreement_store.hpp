#pragma once

// Keys and text formats of the agreement's stored state: promised ballots under "b/", accepted orders under
// "o/", and decided versions per item name under "d/". The parse functions throw nlohmann::json exceptions on
// malformed text.

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mesh/control/messages.hpp"

namespace rackroute::mesh::agreement_store {

inline constexpr std::string_view kPromisePrefix = "b/";
inline constexpr std::string_view kOrderPrefix = "o/";
inline constexpr std::string_view kHistoryPrefix = "d/";
inline const std::string kFloorKey = "b/floor";            // lower bound for ballots, see RegisterAcceptor
inline const std::string kReservedRoundsKey = "b/rounds";  // reserved ballot rounds, see OrderProposer

/// A decided version of an item and the hash of its value.
struct DecidedVersion {
  Generation version;
  std::uint64_t hash = 0;
};

std::string promiseKey(const Ballot& ballot);
std::string orderKey(std::uint64_t id);
std::string historyKey(const ItemKey& name);

std::string formatBallot(const Ballot& ballot);
Ballot parseBallot(const std::string& text);

struct PromisedRegisters {
  Ballot ballot;
  std::vector<RegisterId> registers;
};
std::string formatPromise(const PromisedRegisters& promise);
PromisedRegisters parsePromise(const std::string& text);

std::string formatOrder(const AcceptedOrder& accepted);
AcceptedOrder parseOrder(const std::string& text);

std::string formatHistory(const std::vector<DecidedVersion>& versions);
std::vector<DecidedVersion> parseHistory(const std::string& text);

}  // namespace rackroute::mesh::agreement_store
