#pragma once

// The sessions of a control process and the known addresses of control processes. Every pair of control
// processes has a session dialled from each side; sidecars dial and are not dialled. Takes inputs and returns
// the addresses to dial and the sessions to close; performs no I/O and reads no clock.
//
// The table of addresses is bounded: it has the voters, the seeds and at most kMaxOtherAddresses more. Of
// these, one that is unreachable for kForgetAfter is removed.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "mesh/control/control_action.hpp"
#include "mesh/control/voter_set.hpp"

namespace rackroute::mesh {

struct PeerSession {
  bool dialled = false;  // by this process; the peer is then a control process
  bool control = false;  // the peer is a control process
  bool greeted = false;  // Hello or Welcome was received
  Address at;            // of a control process
  VoterId peer;          // of a control process, once greeted
  NodeName node;         // once a Hello was received
  LifeNo life;           // once greeted; 0: the peer runs an earlier version that does not send it
  Span lastReceived{};
  std::uint64_t lastSequence = 0;  // of the peer's heartbeats
  std::uint64_t digest = 0;        // of the peer's items, from its last heartbeat
  Span differsSince = Span::max();
};

class PeerSessions {
 public:
  PeerSessions(Address self, const std::vector<Address>& seeds);

  void setSeeds(const std::vector<Address>& seeds);
  void setVoters(const VoterSet& set);
  /// Adds addresses reported by another process. True: some of them are new.
  bool addAddresses(Span now, const std::vector<Address>& addresses);
  /// All known addresses of control processes, with this process's own one first.
  [[nodiscard]] std::vector<Address> addresses() const;

  /// An inbound session was opened.
  PeerSession& accepted(Span now, SessionNo no);
  /// A dial succeeded. Returns an older session with that address, to be closed.
  std::optional<SessionNo> dialSucceeded(Span now, SessionNo no, const Address& at);
  void dialFailed(Span now, const Address& at);
  /// Removes a closed session and returns it. None: it is unknown.
  std::optional<PeerSession> remove(Span now, SessionNo no);
  /// Makes a dial to the address due at once, because its control process has just connected here.
  void dialSoon(const Address& at);

  [[nodiscard]] PeerSession* find(SessionNo no);
  [[nodiscard]] std::map<SessionNo, PeerSession>& all() { return sessions_; }
  [[nodiscard]] const std::map<SessionNo, PeerSession>& all() const { return sessions_; }
  /// The session dialled to that address, if it is known to be with another run of its process.
  [[nodiscard]] std::optional<SessionNo> dialledToOtherLife(const Address& at, LifeNo life) const;
  /// The session for messages to a control process: the one dialled here, else one dialled by the peer.
  [[nodiscard]] std::optional<SessionNo> sessionTo(const Address& control) const;
  /// Greeted sessions with control processes that were dialled here, one for each process.
  [[nodiscard]] std::vector<SessionNo> controls() const;
  [[nodiscard]] std::vector<SessionNo> sidecars() const;

  /// Sessions that have received nothing for the session timeout.
  [[nodiscard]] std::vector<SessionNo> timedOut(Span now) const;
  /// Returns the addresses that are due to be dialled; also removes expired addresses.
  std::vector<Address> dueDials(Span now);

 private:
  struct Known {
    Span nextDial{};
    bool dialling = false;  // a dial is in progress
    Span unreachedSince{};
  };
  [[nodiscard]] bool permanent(const Address& at) const;

  Address self_;
  std::set<Address> seeds_;
  std::set<Address> voters_;
  std::map<Address, Known> known_;  // without this process
  std::map<Address, SessionNo> dialled_;
  std::map<SessionNo, PeerSession> sessions_;
};

}  // namespace rackroute::mesh
