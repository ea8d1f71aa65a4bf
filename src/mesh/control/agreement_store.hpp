#pragma once

// Keys and texts of what the agreement keeps on disk: "b/" promised ballots, "o/" accepted orders, "d/"
// decided versions of a name. Readers throw nlohmann's exceptions for texts that no process wrote.

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mesh/control/messages.hpp"

namespace rackroute::mesh::agreement_store {

inline constexpr std::string_view kPromisePrefix = "b/";
inline constexpr std::string_view kOrderPrefix = "o/";
inline constexpr std::string_view kHistoryPrefix = "d/";
inline const std::string kFloorKey = "b/floor";            // see RegisterAcceptor
inline const std::string kReservedRoundsKey = "b/rounds";  // see OrderProposer

/// One version of a name and the print of the value that is decided for it.
struct DecidedVersion {
  Generation version;
  std::uint64_t print = 0;
};

std::string promiseKey(const Ballot& ballot);
std::string orderKey(std::uint64_t id);
std::string historyKey(const ItemKey& name);

std::string ballotText(const Ballot& ballot);
Ballot readBallot(const std::string& text);

struct PromisedRegisters {
  Ballot ballot;
  std::vector<RegisterId> registers;
};
std::string promiseText(const PromisedRegisters& promise);
PromisedRegisters readPromise(const std::string& text);

std::string orderText(const AcceptedOrder& accepted);
AcceptedOrder readOrder(const std::string& text);

std::string historyText(const std::vector<DecidedVersion>& versions);
std::vector<DecidedVersion> readHistory(const std::string& text);

}  // namespace rackroute::mesh::agreement_store
