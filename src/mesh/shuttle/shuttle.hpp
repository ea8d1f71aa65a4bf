#pragma once

// The data-plane process as one state machine: the caller's decisions, the door of the server here, and what
// is heard from the control plane, put together. It owns these three and decides nothing of its own; no I/O,
// no clock.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mesh/caller/caller.hpp"
#include "mesh/door/door.hpp"
#include "mesh/shuttle/feed.hpp"

namespace rackroute::mesh {

/// All that the process is to do after an input, in this order.
struct ShuttleActs {
  CallActs calls;
  DoorActs door;  // run and answer only
  FeedActs feed;  // say, dial and hangUp only
};

class Shuttle {
 public:
  struct Built {
    Caller::Built caller;
    Door::Built door;
    Feed::Built feed;
  };
  explicit Shuttle(Built built);

  ShuttleActs asked(Span now, CallNo no, const Asked& asked);
  ShuttleActs hopped(Span now, CallNo no, TryNo sent, Hopped how, const HopTold& told, std::uint32_t status,
                     std::shared_ptr<const void> bytes);
  ShuttleActs hopAsked(Span now, AskNo no, const HopAsk& ask, const std::optional<std::string>& key);
  ShuttleActs ran(Span now, AskNo no, AtServer how, const ServerAnswer& answer);
  ShuttleActs beat(Span now, const Beat& beat);
  ShuttleActs reached(Span now, const Address& control);
  ShuttleActs ended(Span now, const Address& control);
  ShuttleActs heard(Span now, const Address& control, const nlohmann::json& word);
  void alive(Span now, const Address& control) { feed_.alive(now, control); }
  ShuttleActs tick(Span now);
  /// The process leaves: not ready from now on; its server gets new work for a while yet.
  ShuttleActs leave(Span now);
  void seeds(std::vector<Address> seeds) { feed_.seeds(std::move(seeds)); }
  /// When tick() is to be called at the latest.
  [[nodiscard]] Span nextTick(Span now) const;
  /// Whether requests are taken: what is in force is known, and read as routes.
  [[nodiscard]] bool serving(Span now) const { return feed_.ready(now) && (served_ || !readsAt_); }
  [[nodiscard]] bool ready(Span now) const { return !leaving_ && serving(now); }
  [[nodiscard]] std::size_t atWork() const { return caller_.atWork() + door_.atWork(); }
  [[nodiscard]] const Caller& caller() const { return caller_; }
  [[nodiscard]] const Door& door() const { return door_; }
  [[nodiscard]] const Feed& feed() const { return feed_; }

 private:
  void take(Span now, DoorActs acts, ShuttleActs& out);
  void take(Span now, FeedActs acts, ShuttleActs& out);
  void configure(Span now, ShuttleActs& out);

  Built built_;
  Caller caller_;
  Door door_;
  Feed feed_;
  Span feedTick_{};
  std::optional<Span> readsAt_;     // when the items in force are to be read as routes
  std::optional<Span> doorLeaves_;  // when the door is to shut
  bool served_ = false;             // requests were taken before
  bool leaving_ = false;
};

}  // namespace rackroute::mesh
