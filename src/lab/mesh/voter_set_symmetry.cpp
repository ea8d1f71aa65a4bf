#include <algorithm>
#include <numeric>

#include "lab/mesh/voter_set_state.hpp"

namespace rackroute::lab::mesh::voter_set_model {
namespace {

std::uint64_t mixBits(std::uint64_t value) {  // splitmix64
  value += 0x9e3779b97f4a7c15U;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

template <class... Parts>
std::uint64_t hashOf(Parts... parts) {
  std::uint64_t hash = 0;
  ((hash = mixBits(hash + static_cast<std::uint64_t>(parts))), ...);
  return hash;
}

template <std::size_t N>
Bits reordered(Bits bits, const std::array<std::uint8_t, N>& order) {
  Bits result = 0;
  for (std::size_t i = 0; i < N; ++i) {
    if (has(bits, order[i])) add(result, bit(i));
  }
  return result;
}

/// A numbering that depends on the properties of the processes and claimers, not on their current numbers.
/// Ties between equal hashes are broken by the current number.
Renumbering canonicalOrder(const ModelState& state) {
  std::array<std::uint64_t, kProcesses> ownHash{};
  for (std::size_t p = 0; p < kProcesses; ++p) {
    const Process& it = state.processes[p];
    ownHash[p] = hashOf(it.exists, it.incarnation, it.epoch, it.epochOnDisk, it.holdsState,
                        it.heldStateBefore, size(it.readFrom));
    for (const Set& set : state.sets)
      ownHash[p] = hashOf(ownHash[p], has(set.voters, p), has(set.readers, p), set.incarnation[p]);
  }
  const auto relation = [&](std::size_t p, std::size_t c) {
    const Process& it = state.processes[p];
    return hashOf(has(it.promised, c), has(it.onDisk, c), has(it.pendingVotes, c), it.inFlight[c],
                  has(state.claimers[c].votes, p));
  };
  std::array<std::uint64_t, kClaimers> claimers{};
  for (std::size_t c = 0; c < kClaimers; ++c) {
    for (std::size_t p = 0; p < kProcesses; ++p) claimers[c] += mixBits(ownHash[p] ^ relation(p, c));
    claimers[c] = hashOf(claimers[c], state.claimers[c].state, state.claimers[c].epoch);
  }
  std::array<std::uint64_t, kProcesses> claimHash = ownHash;
  for (std::size_t p = 0; p < kProcesses; ++p) {
    for (std::size_t c = 0; c < kClaimers; ++c) claimHash[p] += mixBits(claimers[c] ^ relation(p, c));
  }
  std::array<std::uint64_t, kProcesses> fullHash = claimHash;
  for (std::size_t p = 0; p < kProcesses; ++p) {
    for (std::size_t other = 0; other < kProcesses; ++other) {
      if (!has(state.processes[p].readFrom, other)) continue;
      fullHash[p] += mixBits(claimHash[other] + 1);
      fullHash[other] += mixBits(claimHash[p] + 2);
    }
  }
  Renumbering order = initialNames();
  std::sort(order.processes.begin(), order.processes.end(),
            [&](auto a, auto b) { return fullHash[a] != fullHash[b] ? fullHash[a] < fullHash[b] : a < b; });
  std::sort(order.claimers.begin(), order.claimers.end(),
            [&](auto a, auto b) { return claimers[a] != claimers[b] ? claimers[a] < claimers[b] : a < b; });
  return order;
}

}  // namespace

void canonicalize(ModelState& state) {
  const Renumbering order = canonicalOrder(state);
  ModelState result = state;
  for (std::size_t p = 0; p < kProcesses; ++p) {
    const Process& from = state.processes[order.processes[p]];
    Process& to = result.processes[p];
    to = from;
    to.promised = reordered(from.promised, order.claimers);
    to.onDisk = reordered(from.onDisk, order.claimers);
    to.pendingVotes = reordered(from.pendingVotes, order.claimers);
    to.readFrom = reordered(from.readFrom, order.processes);
    for (std::size_t c = 0; c < kClaimers; ++c) to.inFlight[c] = from.inFlight[order.claimers[c]];
  }
  for (std::size_t c = 0; c < kClaimers; ++c) {
    result.claimers[c] = state.claimers[order.claimers[c]];
    result.claimers[c].votes = reordered(result.claimers[c].votes, order.processes);
  }
  for (std::size_t e = 0; e < kEpochs; ++e) {
    Set& to = result.sets[e];
    to.voters = reordered(to.voters, order.processes);
    to.readers = reordered(to.readers, order.processes);
    for (std::size_t p = 0; p < kProcesses; ++p)
      to.incarnation[p] = state.sets[e].incarnation[order.processes[p]];
  }
  state = result;
}

Renumbering initialNames() {
  Renumbering names;
  std::iota(names.processes.begin(), names.processes.end(), std::uint8_t{0});
  std::iota(names.claimers.begin(), names.claimers.end(), std::uint8_t{0});
  return names;
}

Renumbering renamed(const Renumbering& names, const ModelState& before) {
  const Renumbering order = canonicalOrder(before);
  Renumbering result;
  for (std::size_t p = 0; p < kProcesses; ++p) result.processes[p] = names.processes[order.processes[p]];
  for (std::size_t c = 0; c < kClaimers; ++c) result.claimers[c] = names.claimers[order.claimers[c]];
  return result;
}

std::string describe(const Renumbering& names, const ModelStep& step, const ModelState& before) {
  const auto process = [&](std::size_t p) {
    return std::string(1, static_cast<char>('A' + names.processes[p]));
  };
  const auto claim = [&](std::size_t c) { return "claim " + std::to_string(names.claimers[c] + 1); };
  const auto epoch = [](std::size_t e) { return "the set of epoch " + std::to_string(e); };
  switch (step.kind) {
    case Kind::votes:
      return process(step.a) + " votes for " + claim(step.b % kClaimers) + " in epoch " +
             std::to_string(step.b / kClaimers);
    case Kind::syncs:
      return process(step.a) + " syncs its disk and sends its votes";
    case Kind::releases:
      return process(step.a) + " releases " + claim(step.b);
    case Kind::abandons:
      return claim(step.a) + " is abandoned";
    case Kind::releasesWon:
      return claim(step.a) + " is released after it was won";
    case Kind::lateRun:
      return claim(step.a) + " runs after its release";
    case Kind::wiped:
      return process(step.a) + " loses its disk";
    case Kind::losesPower:
      return process(step.a) + " loses power";
    case Kind::joinsWithoutEpoch:
      return process(step.a) + " joins without a new epoch";
    case Kind::replaces:
      return process(step.a) + " replaces " + process(step.b) + " as of epoch " +
             std::to_string(before.newest + 1);
    case Kind::joins:
      return process(step.a) + " joins as of epoch " + std::to_string(before.newest + 1);
    case Kind::leaves:
      return process(step.a) + " leaves as of epoch " + std::to_string(before.newest + 1);
    case Kind::adopts:
      return process(step.a) + " adopts " + epoch(step.b);
    case Kind::learns:
      return claim(step.a) + " learns " + epoch(step.b) + " and is sent again";
    case Kind::reads:
      return process(step.a) + " reads the state of " + process(step.b);
  }
  return {};
}

}  // namespace rackroute::lab::mesh::voter_set_model
