#pragma once

// The states of the voter-set explorer: control processes, claimers of one key and the sets of voters that
// were agreed on, packed into a few bytes each, and what each of them is in the mesh's own classes.

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <string>

#include "mesh/claims/promises.hpp"
#include "mesh/control/voter_set.hpp"

namespace rackroute::lab::mesh::voter_set_model {

using Bits = std::uint8_t;  // a set of processes, claimers or epochs, by number

constexpr std::size_t kProcesses = 8;  // voters and standbys; fits Bits
constexpr std::size_t kClaimers = 3;
constexpr std::size_t kEpochs = 5;        // 0: none is known; 1: the first set
constexpr std::size_t kFewestVoters = 3;  // a set does not shrink below
constexpr Bits kRelease = 0x80;           // in Process::inFlight, beside the epochs

constexpr Bits bit(std::size_t number) { return static_cast<Bits>(1U << number); }
constexpr bool has(Bits bits, std::size_t number) { return (bits >> number & 1U) != 0; }
inline void add(Bits& bits, Bits more) { bits = static_cast<Bits>(bits | more); }
inline void remove(Bits& bits, Bits fewer) { bits = static_cast<Bits>(bits & ~fewer); }
inline std::size_t size(Bits bits) { return static_cast<std::size_t>(std::popcount(bits)); }

/// A control process at one address.
struct Process {
  std::uint8_t exists = 0;
  std::uint8_t incarnation = 0;  // disks that were lost here before, and times it was put out of the set
  std::uint8_t epoch = 0;        // of the set that it adopted
  std::uint8_t epochOnDisk = 0;  // the same, of its disk; else it is not told before it is written
  std::uint8_t holdsState = 0;   // it may vote
  std::uint8_t heldBefore = 0;   // it held state in the set before, so that others may read from it
  Bits promised = 0;             // the claims that hold the key, as far as it knows
  Bits onDisk = 0;               // the same, of its disk
  Bits owedVotes = 0;            // claims whose votes wait for the disk
  Bits readFrom = 0;             // processes whose state it has read
  std::array<Bits, kClaimers> inFlight{};  // claims by their epoch, and kRelease, on their way to it
};

enum class Work : std::uint8_t { claiming, won, freedButMayRun, over };

struct Claimer {
  Work work = Work::claiming;
  std::uint8_t epoch = 1;  // of the set in which it counts
  Bits votes = 0;          // processes whose votes it has counted
};

struct Set {
  Bits voters = 0;
  Bits readers = 0;
  std::uint8_t previousSize = 0;
  std::array<std::uint8_t, kProcesses> incarnation{};  // of its voters
};

struct ModelState {
  std::array<Process, kProcesses> processes{};
  std::array<Claimer, kClaimers> claimers{};
  std::array<Set, kEpochs> sets{};
  std::uint8_t newest = 1;  // epoch that was agreed on last
  std::uint8_t wipes = 0;
  std::uint8_t powerLosses = 0;
};

enum class Kind : std::uint8_t {
  votes,        // process a grants the claim of b
  syncs,        // process a
  releases,     // process a hears that b has given up
  givesUp,      // claimer a
  givesBack,    // claimer a
  lateRun,      // claimer a
  wiped,        // process a
  losesPower,   // process a
  joinsBeside,  // process a; only of a flaw
  replaces,     // process a takes the place of b
  joins,        // process a
  leaves,       // process a
  adopts,       // process a adopts the set of epoch b
  learns,       // claimer a learns the set of epoch b
  reads,        // process a reads the state of b
};

struct ModelStep {
  Kind kind = Kind::votes;
  std::uint8_t a = 0;
  std::uint8_t b = 0;
  bool operator==(const ModelStep&) const = default;
};

/// A renumbering of processes and claimers: the old number at each new one.
struct Order {
  std::array<std::uint8_t, kProcesses> processes{};
  std::array<std::uint8_t, kClaimers> claimers{};
};

/// The claim of a claimer, as voters hold it.
rackroute::mesh::Holder holderOf(std::size_t claimer);
rackroute::mesh::VoterId voterId(std::size_t process, std::uint8_t incarnation);
std::size_t processOf(const rackroute::mesh::VoterId& voter);

rackroute::mesh::VoterSet voterSetOf(const Set& set, std::size_t epoch);
Set packed(const rackroute::mesh::VoterSet& set);

/// The one key that all claimers want, and the time at which everything happens.
const rackroute::mesh::KeyHash& theKey();
inline constexpr rackroute::Span kNow = std::chrono::seconds(1);

/// What a voter has promised of the key, in the mesh's own class.
rackroute::mesh::Promises promisesOf(Bits promised);
Bits bitsOf(const rackroute::mesh::Promises& promises);

// Processes and claimers are alike: states that differ only by their numbers count as one.

Order firstNames();
/// Renumbers a state so that states which differ only by numbers become equal, as far as cheap hashes tell.
void canonical(ModelState& state);
/// The names of a state's processes and claimers once it was made canonical.
Order renamed(const Order& names, const ModelState& before);
/// A step in words, as a line of a trail.
std::string describe(const Order& names, const ModelStep& step, const ModelState& before);

}  // namespace rackroute::lab::mesh::voter_set_model
