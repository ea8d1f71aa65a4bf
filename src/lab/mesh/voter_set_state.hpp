#pragma once

// The state of the voter-set model: control processes, claimers of one key and the agreed voter sets, each
// packed into a few bytes, with conversions from and to the production classes.

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <string>

#include "mesh/claims/promises.hpp"
#include "mesh/control/voter_set.hpp"

namespace rackroute::lab::mesh::voter_set_model {

using Bits = std::uint8_t;  // bit mask of processes, claimers or epochs

constexpr std::size_t kProcesses = 8;  // voters and standbys; fits Bits
constexpr std::size_t kClaimers = 3;
constexpr std::size_t kEpochs = 5;     // 0: unknown; 1: the first set
constexpr std::size_t kMinVoters = 3;  // minimum size of a set
constexpr Bits kRelease = 0x80;        // a release in Process::inFlight, beside the bits of the epochs

constexpr Bits bit(std::size_t number) { return static_cast<Bits>(1U << number); }
constexpr bool has(Bits bits, std::size_t number) { return (bits >> number & 1U) != 0; }
inline void add(Bits& bits, Bits more) { bits = static_cast<Bits>(bits | more); }
inline void remove(Bits& bits, Bits fewer) { bits = static_cast<Bits>(bits & ~fewer); }
inline std::size_t size(Bits bits) { return static_cast<std::size_t>(std::popcount(bits)); }

/// A control process at one address.
struct Process {
  std::uint8_t exists = 0;
  std::uint8_t incarnation = 0;            // incremented by disk losses and removals from the set
  std::uint8_t epoch = 0;                  // of the adopted set
  std::uint8_t epochOnDisk = 0;            // differs from epoch until the adopted set is on disk
  std::uint8_t holdsState = 0;             // may vote
  std::uint8_t heldStateBefore = 0;        // held state in the previous set, so that others may read it
  Bits promised = 0;                       // claims that hold the key according to this process
  Bits onDisk = 0;                         // promised as of the last disk write
  Bits pendingVotes = 0;                   // claims whose votes wait for a disk write
  Bits readFrom = 0;                       // processes whose state has been read
  std::array<Bits, kClaimers> inFlight{};  // by claimer: epochs of claims in flight, and kRelease
};

enum class ClaimState : std::uint8_t { claiming, won, releasedMayStillRun, ended };

struct Claimer {
  ClaimState state = ClaimState::claiming;
  std::uint8_t epoch = 1;  // of the set whose votes it counts
  Bits votes = 0;          // processes whose votes were counted
};

struct Set {
  Bits voters = 0;
  Bits readers = 0;
  std::uint8_t previousSize = 0;
  std::array<std::uint8_t, kProcesses> incarnation{};  // of the voters
};

struct ModelState {
  std::array<Process, kProcesses> processes{};
  std::array<Claimer, kClaimers> claimers{};
  std::array<Set, kEpochs> sets{};
  std::uint8_t newest = 1;  // the epoch agreed on last
  std::uint8_t wipes = 0;
  std::uint8_t powerLosses = 0;
};

enum class Kind : std::uint8_t {
  votes,              // process a grants the claim of b
  syncs,              // process a
  releases,           // process a receives the release of claimer b
  abandons,           // claimer a
  releasesWon,        // claimer a
  lateRun,            // claimer a
  wiped,              // process a
  losesPower,         // process a
  joinsWithoutEpoch,  // process a; only with VoterSetFlaw::setsWithoutOverlap
  replaces,           // process a replaces b
  joins,              // process a
  leaves,             // process a
  adopts,             // process a adopts the set of epoch b
  learns,             // claimer a learns the set of epoch b
  reads,              // process a reads the state of b
};

struct ModelStep {
  Kind kind = Kind::votes;
  std::uint8_t a = 0;
  std::uint8_t b = 0;
  bool operator==(const ModelStep&) const = default;
};

/// A renumbering of processes and claimers: the old number, indexed by the new number.
struct Renumbering {
  std::array<std::uint8_t, kProcesses> processes{};
  std::array<std::uint8_t, kClaimers> claimers{};
};

/// The holder that stands for a claimer's claim.
rackroute::mesh::Holder holderOf(std::size_t claimer);
rackroute::mesh::VoterId voterId(std::size_t process, std::uint8_t incarnation);
std::size_t processOf(const rackroute::mesh::VoterId& voter);

rackroute::mesh::VoterSet voterSetOf(const Set& set, std::size_t epoch);
Set packed(const rackroute::mesh::VoterSet& set);

/// The key that all claimers claim. The model has no time: everything happens at kNow.
const rackroute::mesh::KeyHash& claimedKey();
inline constexpr rackroute::Span kNow = std::chrono::seconds(1);

/// Conversions between a bit mask of claims and the promises of the key.
rackroute::mesh::Promises promisesOf(Bits promised);
Bits bitsOf(const rackroute::mesh::Promises& promises);

Renumbering initialNames();
/// Renumbers the processes and claimers so that states that differ only in numbering become equal. Based on
/// hashes of their properties, so some symmetric states may remain distinct.
void canonicalize(ModelState& state);
/// The names after `before` has been canonicalized.
Renumbering renamed(const Renumbering& names, const ModelState& before);
/// Describes a step as a line of a trace.
std::string describe(const Renumbering& names, const ModelStep& step, const ModelState& before);

}  // namespace rackroute::lab::mesh::voter_set_model
