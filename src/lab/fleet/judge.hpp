#pragma once

// Judges a drill: told what is done to members and what each of them sees, it says which promise was broken,
// when and by whom, and keeps the figures. It knows nothing of how members come to what they see. No clock,
// no I/O.

#include <cstdint>
#include <string>
#include <vector>

#include "lab/fleet/drill.hpp"
#include "lab/tally.hpp"

namespace rackroute::lab {

class DrillJudge {
 public:
  /// Lag: how late it may be told of what a member sees.
  DrillJudge(const Drill& drill, const Timetable& table, Span lag);

  // ---- What is done
  void started(Span now, std::uint32_t member);
  void ended(Span now, std::uint32_t member);
  void frozen(Span now, std::uint32_t member, bool yes);
  /// All know each other from the start.
  void warm();

  // ---- What is seen
  void sees(Span now, std::uint32_t observer, std::uint32_t subject, fleet::State state);
  /// The member forgot it, or never knew it.
  void unknown(std::uint32_t observer, std::uint32_t subject);
  void says(std::uint32_t member, fleet::Connectivity hearing, std::size_t safe);
  void sent(Span now, std::uint32_t member, std::size_t bytes);
  void got(Span now, std::uint32_t member, std::size_t bytes);
  /// To be called often: judges what holds now.
  void look(Span now);

  [[nodiscard]] Json finish(Span now);
  [[nodiscard]] bool kept() const { return broken_.empty(); }
  [[nodiscard]] double meanFirstSuspicion() const;
  [[nodiscard]] std::uint64_t wrongDeaths() const { return wrongDeaths_; }

 private:
  struct Member {
    bool runs = false;
    bool frozen = false;
    Span disturbedAt = Span::min() / 2;  // started or ended
    Span wokenAt = Span::min() / 2;      // or frozen
    Span endedAt = Span::min() / 2;
    Span suspectedAt = Span::max();   // first, since it ended
    Span buriedAt = Span::min() / 2;  // last counted as a wrong death
    std::uint32_t wrong = 0;          // members that it sees otherwise than they are
    Span wrongSince = Span::max();    // by more than is promised
    fleet::Connectivity hearing = fleet::Connectivity::full;
    std::size_t safe = 0;
    std::vector<std::uint32_t> gets;  // messages by second
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
  };
  struct Burial {
    Span at;
    std::uint32_t observer;
    std::uint32_t subject;
  };
  struct Spell {  // in which something is disturbed
    Span from;
    Span until;
  };

  void settleDeaths(Span now);
  void runs(Span now, std::uint32_t member, bool yes);
  void set(std::uint32_t observer, std::uint32_t subject, std::uint8_t seen);
  [[nodiscard]] bool disturbed(Span now, Span after) const;
  [[nodiscard]] bool cut(Span now) const;
  void broken(Span now, const std::string& promise, std::uint32_t member, const std::string& what);

  const Drill& drill_;
  Span lag_;
  std::vector<Member> members_;
  std::vector<std::uint8_t> seen_;  // by observer, then subject: a State, or kUnknown
  std::vector<Spell> spells_;
  std::vector<Spell> cuts_;
  std::uint32_t running_ = 0;
  std::vector<Span> suspicions_;  // from an end to the first suspicion
  std::vector<Span> known_;       // from the last disturbance to the last wrong view after it
  Span lastSpell_ = Span::min() / 2;
  Span lastWrong_{};
  std::vector<Burial> buried_;  // deaths that may be wrong
  std::uint64_t wrongDeaths_ = 0;
  std::vector<Json> broken_;
  std::uint64_t brokenMore_ = 0;
  std::int64_t nextSecond_ = 0;
  Json seconds_ = Json::array();
};

/// A picture of each member's view over time, as SVG, from the JSON of a run.
[[nodiscard]] std::string pictureOf(const Json& run);

}  // namespace rackroute::lab
