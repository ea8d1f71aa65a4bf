#pragma once

// One member's part in a fleet that finds out by itself who is there: SWIM (Das, Gupta, Motivala, "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002) with Lifeguard's
// local health, dogpile and buddy refinements (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness
// for More Accurate Failure Detection", 2017). docs/fleet-view.md says what was added: healing, hearing, the
// safe count. It owns the view and what is to be told on; it does no I/O, and clock, chance and sending are
// passed in.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/member.hpp"
#include "fleet/rumours.hpp"
#include "fleet/view.hpp"

namespace rackroute::fleet {

/// How a member goes about it.
struct Rhythm {
  Span period = std::chrono::seconds(1);  // between two probes
  double suspicion = 1;     // periods of suspicion for each tenfold of members, two tenfolds at least
  std::size_t most = 2000;  // members
  Span keepDead = std::chrono::hours(24);
  bool lifeguard = true;  // off: plain SWIM, to compare with
};

/// What a member asks of its surroundings. They must not call back into it.
class Surroundings {
 public:
  Surroundings() = default;
  Surroundings(const Surroundings&) = delete;
  Surroundings& operator=(const Surroundings&) = delete;
  virtual ~Surroundings() = default;

  /// A datagram: it may be lost, doubled, late.
  virtual void send(const std::string& address, const Message& message) = 0;
  /// A full exchange of views, by a connection: it may fail.
  virtual void exchange(const std::string& address) = 0;
  /// A member's state is another now; was: nothing if it is new.
  virtual void changed(const Held& member, std::optional<State> was) = 0;
  /// Another process has this member's name (true), or it is this one's again.
  virtual void nameTaken(bool taken, const std::string& by) = 0;
};

/// What happened since the start.
struct Figures {
  std::uint64_t probes = 0;
  std::uint64_t probesLost = 0;     // no answer, direct or through others
  std::uint64_t suspicions = 0;     // by this member's own probes
  std::uint64_t refuted = 0;        // talk of this member's own death
  std::uint64_t deaths = 0;         // told first by this member
  std::uint64_t stalls = 0;         // this member was frozen or starved
  std::uint64_t misdirected = 0;    // probes meant for others
  std::uint64_t refusedFull = 0;    // members, as the view is full
  std::uint64_t refusedAbsurd = 0;  // words that can't be
};

class Membership {
 public:
  /// The card's name is the member's; start: ms since 1970.
  Membership(Card self, std::uint64_t start, std::vector<std::string> join, const Rhythm& rhythm,
             std::uint64_t seed, Surroundings& surroundings);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Before it begins: members that it knows of already.
  void know(Span now, const std::vector<Word>& words);
  /// Before it begins: it goes on as the member that another process was until now.
  void goOn(const Life& life);
  void begin(Span now);
  void heard(Span now, const Message& message);
  /// The sides of an exchange: who asks says its digest and marks, is told what differs, and tells its own
  /// of that. Marks: of whom it is for; none: all is told.
  [[nodiscard]] Whole question() const;
  [[nodiscard]] Whole whole(Span now, const Marks& marks = {}) const;
  void merge(Span now, const Whole& theirs);
  void wake(Span now);
  /// When to wake it next.
  [[nodiscard]] Span due() const { return due_; }
  /// Says good-bye; it takes part no more.
  void leave(Span now);

  [[nodiscard]] const View& view() const { return view_; }
  [[nodiscard]] const Word& self() const { return self_; }
  [[nodiscard]] std::uint64_t digest() const { return view_.digest() + View::digestOf(self_.id, self_.life); }
  [[nodiscard]] Hearing hearing() const { return hearing_; }
  /// Members that may be running, with this one, whatever one hears of them.
  [[nodiscard]] std::size_t safeCount() const { return view_.safe() + 1; }
  [[nodiscard]] std::uint32_t ill() const { return ill_; }
  [[nodiscard]] bool displaced() const { return displaced_; }
  [[nodiscard]] const Figures& figures() const { return figures_; }

 private:
  struct Probe {
    MemberId target;
    std::string address;
    std::uint32_t number = 0;
    Span askOthersAt{};
    Span endsAt{};
    std::uint32_t asked = 0;
    std::uint32_t heardOf = 0;  // those asked that did answer, be it that they can't reach it either
  };
  struct Suspicion {
    Life life;
    Span begun{};
    Span ends{};
    std::set<MemberId> by;
  };
  struct Favour {  // a probe for another member
    std::string asker;
    std::uint32_t theirs = 0;
    MemberId target;
    Span nackAt{};
    Span endsAt{};
    bool told = false;
  };
  enum class Source { gossip, exchange, own };

  void notice(Span now);
  void plan(Span now);
  void rivalSpeaks(const Message& message);
  void learn(Span now, const Word& word, Source source);
  void learnOfSelf(Span now, const Word& word);
  void suspect(Span now, const Held& held, MemberId by, bool own);
  void checkSoon(Span now, MemberId id);
  void settleSuspicions(Span now);
  [[nodiscard]] Span deadline(const Suspicion& suspicion) const;
  void announce(Span now, const Held& held, std::optional<State> was);
  void raise();

  void probeNext(Span now);
  [[nodiscard]] const Held* nextTarget();
  void followProbe(Span now);
  void settleFavours(Span now);
  void reachOut(Span now);
  void askForName(Span now);
  void spread(Span now);
  void accuse(Span now, MemberId id);
  void tellAccused(Span now);
  void exchangeNow(Span now, const std::string& address);
  void exchangeByChance(Span now);
  void compare(Span now, const Message& message);
  void listen(Span now);
  void answered(Span now, const std::string& address);

  void send(const std::string& address, Message message, std::optional<Word> first = std::nullopt);
  [[nodiscard]] std::optional<Word> wordFor(MemberId id) const;
  [[nodiscard]] Word wordOf(Span now, const Held& held) const;
  [[nodiscard]] std::vector<const Held*> drawLiving(std::size_t count, MemberId but);
  [[nodiscard]] Marks marks() const;
  [[nodiscard]] double draw();
  [[nodiscard]] std::size_t pick(std::size_t below);
  [[nodiscard]] std::uint32_t times() const;
  [[nodiscard]] bool plausible(const Word& word) const;
  void feel(int by);

  Rhythm rhythm_;
  Surroundings& surroundings_;
  std::vector<std::string> join_;
  std::mt19937_64 chance_;
  Word self_;
  View view_;
  Rumours rumours_;
  std::map<MemberId, Suspicion> suspicions_;
  std::vector<MemberId> order_;  // whom to probe, the next one last
  std::uint32_t checks_ = 0;     // at its end, of suspicions
  bool byChance_ = true;         // the last probe's target, not by id
  std::optional<Probe> probe_;
  std::map<std::uint32_t, Favour> favours_;  // by the number of the probe
  std::set<MemberId> accused_;               // those that others think dead, or living, against this view
  std::uint32_t lastNumber_ = 0;
  std::uint32_t ill_ = 0;  // Lifeguard's local health: 0 is well
  Span probeAt_ = Span::max();
  Span spreadAt_ = Span::max();
  Span accuseAt_ = Span::max();
  Span exchangeAt_ = Span::max();
  Span forgetAt_ = Span::max();
  Span joinAt_ = Span::max();
  Span ripeAt_ = Span::max();  // no suspicion ends before
  std::uint32_t agreed_ = 0;   // members in a row whose views were the same
  Span due_ = Span::max();
  Span changedAt_{};           // the view
  Span exchangedAt_{};         // with anyone
  Span answeredAt_{};          // by the target of a probe, or by one that was asked
  Span exchangeWait_{};        // between two because of views that differ
  Span unsettledUntil_{};      // much has changed at once
  std::vector<Word> merged_;   // what the exchange under way brought
  std::uint32_t unheard_ = 0;  // probes in a row that nobody answered, neither their target nor those asked
  Span stalledUntil_{};
  Span worseSince_ = Span::max();   // it hears less than it says
  Span betterSince_ = Span::max();  // it hears more than it says
  Hearing hearing_ = Hearing::whole;
  bool begun_ = false;
  bool left_ = false;
  bool displaced_ = false;
  std::string rival_;  // the address of another process with this name
  Life rivalLife_;
  std::uint32_t unanswered_ = 0;  // questions to it
  std::uint32_t aloneTries_ = 0;
  Figures figures_;
};

}  // namespace rackroute::fleet
