#pragma once

// How a ballot's round is made of the epoch and of a counter. The epoch comes first, so that what was
// accepted in a later epoch is always above what a process that had not yet heard of it accepted in an
// earlier one.

#include "mesh/control/messages.hpp"

namespace rackroute::mesh {

inline constexpr unsigned kCounterBits = 40;
inline constexpr std::uint64_t kCounterMask = (std::uint64_t{1} << kCounterBits) - 1;

constexpr std::uint64_t roundOf(Epoch epoch, std::uint64_t counter) {
  return (epoch.value << kCounterBits) | (counter & kCounterMask);
}
constexpr Epoch epochOf(const Ballot& ballot) { return {ballot.round >> kCounterBits}; }
constexpr std::uint64_t counterOf(const Ballot& ballot) { return ballot.round & kCounterMask; }

}  // namespace rackroute::mesh
