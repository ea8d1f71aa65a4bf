#pragma once

// The sessions of a control process: with the other control processes, each dialled from both sides, and with
// sidecars, which dial. It owns them and the addresses of control processes that are known; it takes inputs
// and returns what to dial and hang up, with no I/O and no clock.
//
// Bounds: addresses are those of the voters, the seeds and at most kMostOthers more; one that is in neither
// and could not be reached for kForgetAfter is forgotten, so that replacements at new addresses never fill
// the table.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "mesh/control/control_action.hpp"
#include "mesh/control/voter_set.hpp"

namespace rackroute::mesh {

struct PeerSession {
  bool dialled = false;  // by this process, so with a control process
  bool control = false;  // with a control process
  bool greeted = false;  // Hello or Welcome came
  Address at;            // of a control process
  VoterId peer;          // of a control process, once greeted
  NodeName node;         // once a Hello came
  LifeNo life;           // once greeted; 0: an earlier process, which does not tell
  Span lastHeard{};
  std::uint64_t lastSequence = 0;  // of the peer's heartbeats
  std::uint64_t digest = 0;        // of its items, as last told
  Span differsSince = Span::max();
};

class PeerSessions {
 public:
  PeerSessions(Address self, const std::vector<Address>& seeds);

  void seeds(const std::vector<Address>& seeds);
  /// Addresses of voters are always known.
  void voters(const VoterSet& set);
  /// Told by another process. True: some are new.
  bool learn(Span now, const std::vector<Address>& addresses);
  [[nodiscard]] std::vector<Address> known() const;

  /// Somebody dialled.
  PeerSession& accepted(Span now, SessionNo no);
  /// A dial came up; an older session with that address is returned, to be ended.
  std::optional<SessionNo> reached(Span now, SessionNo no, const Address& at);
  void unreached(Span now, const Address& at);
  /// The session as it was; none: it is not known.
  std::optional<PeerSession> ended(Span now, SessionNo no);
  /// A control process has dialled here, so it can be dialled at once.
  void dialSoon(const Address& at);

  [[nodiscard]] PeerSession* find(SessionNo no);
  [[nodiscard]] std::map<SessionNo, PeerSession>& all() { return sessions_; }
  [[nodiscard]] const std::map<SessionNo, PeerSession>& all() const { return sessions_; }
  /// The session that was dialled to that address, if it is known to be with another life of its process.
  [[nodiscard]] std::optional<SessionNo> dialledToOtherLife(const Address& at, LifeNo life) const;
  /// The session for messages to a control process: the one dialled here, else one that it dialled.
  [[nodiscard]] std::optional<SessionNo> to(const Address& control) const;
  /// Sessions with control processes that were dialled here and are greeted, one for each process.
  [[nodiscard]] std::vector<SessionNo> controls() const;
  [[nodiscard]] std::vector<SessionNo> sidecars() const;

  /// Sessions without a message for too long.
  [[nodiscard]] std::vector<SessionNo> silent(Span now) const;
  /// Dials that are due; also forgets addresses.
  std::vector<Address> dials(Span now);

 private:
  struct Known {
    Span nextDial{};
    bool dialling = false;  // a dial is on its way
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
