#pragma once

// Layout of a ballot's round: the epoch in the high bits, a counter in the low bits. Any ballot of a later
// epoch is therefore higher than the ballots of earlier epochs, including those of processes that have not
// yet received the new voter set.

#include "mesh/control/messages.hpp"

namespace rackroute::mesh {

inline constexpr unsigned kCounterBits = 40;
inline constexpr std::uint64_t kCounterMask = (std::uint64_t{1} << kCounterBits) - 1;

constexpr std::uint64_t makeRound(Epoch epoch, std::uint64_t counter) {
  return (epoch.value << kCounterBits) | (counter & kCounterMask);
}
constexpr Epoch epochOf(const Ballot& ballot) { return {ballot.round >> kCounterBits}; }
constexpr std::uint64_t counterOf(const Ballot& ballot) { return ballot.round & kCounterMask; }

}  // namespace rackroute::mesh
