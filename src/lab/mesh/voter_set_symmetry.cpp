#include <algorithm>
#include <numeric>

#include "lab/mesh/voter_set_state.hpp"

namespace rackroute::lab::mesh::voter_set_model {
namespace {

std::uint64_t mixed(std::uint64_t value) {  // splitmix64
  value += 0x9e3779b97f4a7c15U;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

template <class... Parts>
std::uint64_t hashed(Parts... parts) {
  std::uint64_t hash = 0;
  ((hash = mixed(hash + static_cast<std::uint64_t>(parts))), ...);
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

/// An order that depends on what the processes and claimers are, not on their numbers, as far as cheap
/// hashes tell.
Order orderOf(const ModelState& state) {
  std::array<std::uint64_t, kProcesses> alone{};
  for (std::size_t p = 0; p < kProcesses; ++p) {
    const Process& it = state.processes[p];
    alone[p] = hashed(it.exists, it.incarnation, it.epoch, it.epochOnDisk, it.holdsState, it.heldBefore,
                      size(it.readFrom));
    for (const Set& set : state.sets)
      alone[p] = hashed(alone[p], has(set.voters, p), has(set.readers, p), set.incarnation[p]);
  }
  const auto relation = [&](std::size_t p, std::size_t c) {
    const Process& it = state.processes[p];
    return hashed(has(it.promised, c), has(it.onDisk, c), has(it.owedVotes, c), it.inFlight[c],
                  has(state.claimers[c].votes, p));
  };
  std::array<std::uint64_t, kClaimers> claimers{};
  for (std::size_t c = 0; c < kClaimers; ++c) {
    for (std::size_t p = 0; p < kProcesses; ++p) claimers[c] += mixed(alone[p] ^ relation(p, c));
    claimers[c] = hashed(claimers[c], state.claimers[c].work, state.claimers[c].epoch);
  }
  std::array<std::uint64_t, kProcesses> related = alone;
  for (std::size_t p = 0; p < kProcesses; ++p) {
    for (std::size_t c = 0; c < kClaimers; ++c) related[p] += mixed(claimers[c] ^ relation(p, c));
  }
  std::array<std::uint64_t, kProcesses> whole = related;
  for (std::size_t p = 0; p < kProcesses; ++p) {
    for (std::size_t other = 0; other < kProcesses; ++other) {
      if (!has(state.processes[p].readFrom, other)) continue;
      whole[p] += mixed(related[other] + 1);
      whole[other] += mixed(related[p] + 2);
    }
  }
  Order order = firstNames();
  std::sort(order.processes.begin(), order.processes.end(),
            [&](auto a, auto b) { return whole[a] != whole[b] ? whole[a] < whole[b] : a < b; });
  std::sort(order.claimers.begin(), order.claimers.end(),
            [&](auto a, auto b) { return claimers[a] != claimers[b] ? claimers[a] < claimers[b] : a < b; });
  return order;
}

}  // namespace

void canonical(ModelState& state) {
  const Order order = orderOf(state);
  ModelState result = state;
  for (std::size_t p = 0; p < kProcesses; ++p) {
    const Process& from = state.processes[order.processes[p]];
    Process& to = result.processes[p];
    to = from;
    to.promised = reordered(from.promised, order.claimers);
    to.onDisk = reordered(from.onDisk, order.claimers);
    to.owedVotes = reordered(from.owedVotes, order.claimers);
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

Order firstNames() {
  Order names;
  std::iota(names.processes.begin(), names.processes.end(), std::uint8_t{0});
  std::iota(names.claimers.begin(), names.claimers.end(), std::uint8_t{0});
  return names;
}

Order renamed(const Order& names, const ModelState& before) {
  const Order order = orderOf(before);
  Order result;
  for (std::size_t p = 0; p < kProcesses; ++p) result.processes[p] = names.processes[order.processes[p]];
  for (std::size_t c = 0; c < kClaimers; ++c) result.claimers[c] = names.claimers[order.claimers[c]];
  return result;
}

std::string describe(const Order& names, const ModelStep& step, const ModelState& before) {
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
      return process(step.a) + " writes, and tells its votes";
    case Kind::releases:
      return process(step.a) + " releases " + claim(step.b);
    case Kind::givesUp:
      return claim(step.a) + " is given up";
    case Kind::givesBack:
      return claim(step.a) + " is given back after it was won";
    case Kind::lateRun:
      return claim(step.a) + " runs late";
    case Kind::wiped:
      return process(step.a) + " loses its disk";
    case Kind::losesPower:
      return process(step.a) + " loses power";
    case Kind::joinsBeside:
      return process(step.a) + " joins beside the others";
    case Kind::replaces:
      return process(step.a) + " takes the place of " + process(step.b) + " as of epoch " +
             std::to_string(before.newest + 1);
    case Kind::joins:
      return process(step.a) + " joins as of epoch " + std::to_string(before.newest + 1);
    case Kind::leaves:
      return process(step.a) + " leaves as of epoch " + std::to_string(before.newest + 1);
    case Kind::adopts:
      return process(step.a) + " adopts " + epoch(step.b);
    case Kind::learns:
      return claim(step.a) + " learns " + epoch(step.b) + " and asks anew";
    case Kind::reads:
      return process(step.a) + " reads the state of " + process(step.b);
  }
  return {};
}

}  // namespace rackroute::lab::mesh::voter_set_model
