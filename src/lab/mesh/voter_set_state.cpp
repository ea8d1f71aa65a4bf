#include "lab/mesh/voter_set_state.hpp"

#include <chrono>

namespace rackroute::lab::mesh::voter_set_model {

using namespace std::chrono_literals;
using namespace rackroute::mesh;

const KeyHash& claimedKey() {
  static const KeyHash key = hashOfKey("the key");
  return key;
}

Holder holderOf(std::size_t claimer) { return {{"c" + std::to_string(claimer)}, {1}, {claimer + 1}}; }

VoterId voterId(std::size_t process, std::uint8_t incarnation) {
  return {{std::string(1, static_cast<char>('0' + process))}, {incarnation + 1U}};
}
std::size_t processOf(const VoterId& voter) { return static_cast<std::size_t>(voter.at.value.front() - '0'); }

VoterSet voterSetOf(const Set& set, std::size_t epoch) {
  VoterSet result;
  result.epoch = {epoch};
  result.previousSize = set.previousSize;
  for (std::size_t p = 0; p < kProcesses; ++p) {
    if (!has(set.voters, p)) continue;
    result.voters.push_back(voterId(p, set.incarnation[p]));
    if (has(set.readers, p)) result.readers.push_back(result.voters.back());
  }
  return result;
}

Set packed(const VoterSet& set) {
  Set result;
  result.previousSize = static_cast<std::uint8_t>(set.previousSize);
  for (const VoterId& voter : set.voters) {
    const std::size_t p = processOf(voter);
    add(result.voters, bit(p));
    if (set.mustRead(voter)) add(result.readers, bit(p));
    result.incarnation[p] = static_cast<std::uint8_t>(voter.incarnation.value - 1);
  }
  return result;
}

Promises promisesOf(Bits promised) {
  Promises promises(60s);
  for (std::size_t c = 0; c < kClaimers; ++c) {
    if (has(promised, c)) promises.learn(kNow, claimedKey(), holderOf(c));
  }
  return promises;
}

Bits bitsOf(const Promises& promises) {
  Bits bits = 0;
  for (const Holder& holder : promises.holders(claimedKey())) add(bits, bit(holder.no.value - 1));
  return bits;
}

}  // namespace rackroute::lab::mesh::voter_set_model
