#include "mesh/shuttle/shuttle.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rackroute::mesh {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

// The platform sends clients for two seconds more in any case. Guards against a fleet that is restarted
// machine by machine and has the servers of all that wait stand idle.
constexpr Span kServesOn = 1200ms;
// Guards against a large configuration, or a storm of changes, whose routes are all read anew for each part.
constexpr Span kGather = 60ms;

}  // namespace

Shuttle::Shuttle(Built built)
    : built_(std::move(built)), caller_(built_.caller), door_(built_.door), feed_(built_.feed) {}

void Shuttle::take(Span now, DoorActs acts, ShuttleActs& out) {
  json claims = json::array();
  json freed = json::array();
  for (DoorAct& act : acts) {
    switch (act.kind) {
      case DoorAct::Kind::run:
      case DoorAct::Kind::answer:
        out.door.push_back(std::move(act));
        break;
      case DoorAct::Kind::claim:
        claims.push_back({act.claim.value, textOf(act.key)});
        break;
      case DoorAct::Kind::giveBack:
        freed.push_back({act.claim.value, textOf(act.key)});
        break;
      case DoorAct::Kind::tell:
        // The own caller need not wait for the way round.
        caller_.told(now, act.served, true);
        take(now, feed_.sayAll({{"t", "servers"}, {"list", json::array({toJson(News{act.served, true})})}}),
             out);
        break;
    }
  }
  const std::string& at = built_.door.at.value;
  if (!claims.empty())
    take(now, feed_.sayAll({{"t", "claim"}, {"at", at}, {"list", std::move(claims)}}), out);
  if (!freed.empty()) take(now, feed_.sayAll({{"t", "free"}, {"at", at}, {"list", std::move(freed)}}), out);
}

void Shuttle::take(Span now, FeedActs acts, ShuttleActs& out) {
  for (FeedAct& act : acts) {
    switch (act.kind) {
      case FeedAct::Kind::say:
      case FeedAct::Kind::dial:
      case FeedAct::Kind::hangUp:
        out.feed.push_back(std::move(act));
        break;
      case FeedAct::Kind::server:
        caller_.told(now, act.news.served, act.news.heard);
        take(now, door_.adopt(now, act.news.served), out);
        break;
      case FeedAct::Kind::configured:
        if (caller_.book().services().empty()) {
          configure(now, out);
        } else if (!readsAt_) {
          readsAt_ = now + kGather;
        }
        break;
      case FeedAct::Kind::vote:
        if (const auto ended = door_.claims().vote(act.at, act.claim, act.granted, act.holder))
          take(now, door_.claimEnded(now, *ended), out);
        break;
      case FeedAct::Kind::standing: {
        json servers = json::array();
        for (const Served& served : door_.servers()) servers.push_back(toJson(News{served, true}));
        FeedActs more;
        FeedAct said;
        said.at = act.at;
        if (!servers.empty()) {
          said.text = std::make_shared<const std::string>(
              json{{"t", "servers"}, {"list", std::move(servers)}}.dump());
          more.push_back(said);
        }
        json claims = json::array();
        for (const Claims::Open& open : door_.claims().without(act.at))
          claims.push_back({open.no.value, textOf(open.key)});
        if (!claims.empty()) {
          said.text = std::make_shared<const std::string>(
              json{{"t", "claim"}, {"at", built_.door.at.value}, {"list", std::move(claims)}}.dump());
          more.push_back(said);
        }
        take(now, std::move(more), out);
        break;
      }
      case FeedAct::Kind::told:
        door_.claims().electorate(feed_.voters(), feed_.quorum());
        if (feed_.members() > 0) caller_.processes(feed_.members());
        break;
    }
  }
}

void Shuttle::configure(Span now, ShuttleActs& out) {
  readsAt_.reset();
  caller_.configured(feed_.items());
  take(now, feed_.follow(caller_.book().services()), out);
}

ShuttleActs Shuttle::asked(Span now, CallNo no, const Asked& asked) {
  ShuttleActs out;
  out.calls = caller_.asked(now, no, asked);
  return out;
}

ShuttleActs Shuttle::hopped(Span now, CallNo no, TryNo sent, Hopped how, const HopTold& told,
                            std::uint32_t status, std::shared_ptr<const void> bytes) {
  ShuttleActs out;
  out.calls = caller_.hopped(now, no, sent, how, told, status, std::move(bytes));
  return out;
}

ShuttleActs Shuttle::hopAsked(Span now, AskNo no, const HopAsk& ask, const std::optional<std::string>& key) {
  ShuttleActs out;
  take(now, door_.asked(now, no, ask, key), out);
  return out;
}

ShuttleActs Shuttle::ran(Span now, AskNo no, AtServer how, const ServerAnswer& answer) {
  ShuttleActs out;
  take(now, door_.ran(now, no, how, answer), out);
  return out;
}

ShuttleActs Shuttle::beat(Span now, const Beat& beat) {
  ShuttleActs out;
  take(now, door_.beat(now, beat), out);
  return out;
}

ShuttleActs Shuttle::reached(Span now, const Address& control) {
  ShuttleActs out;
  FeedActs acts = feed_.reached(now, control);
  door_.claims().reach(feed_.sessions());
  take(now, std::move(acts), out);
  return out;
}

ShuttleActs Shuttle::ended(Span now, const Address& control) {
  ShuttleActs out;
  FeedActs acts = feed_.ended(now, control);
  door_.claims().reach(feed_.sessions());
  take(now, std::move(acts), out);
  // Claims that wait for votes which can't come any more hold room at the door.
  take(now, door_.tick(now), out);
  return out;
}

ShuttleActs Shuttle::heard(Span now, const Address& control, const json& word) {
  ShuttleActs out;
  served_ = served_ || serving(now);
  take(now, feed_.heard(now, control, word), out);
  return out;
}

ShuttleActs Shuttle::tick(Span now) {
  ShuttleActs out;
  out.calls = caller_.tick(now);
  if (readsAt_ && *readsAt_ <= now) configure(now, out);
  if (doorLeaves_ && *doorLeaves_ <= now) {
    doorLeaves_ = Span::max();
    take(now, door_.leave(now), out);
  }
  take(now, door_.tick(now), out);
  if (feedTick_ <= now) {
    feedTick_ = now + Feed::tickEvery();
    FeedActs acts = feed_.tick(now);
    door_.claims().reach(feed_.sessions());
    take(now, std::move(acts), out);
  }
  return out;
}

ShuttleActs Shuttle::leave(Span now) {
  leaving_ = true;
  if (!doorLeaves_) doorLeaves_ = now + kServesOn;
  return tick(now);
}

Span Shuttle::nextTick(Span now) const {
  Span next = feedTick_;
  if (doorLeaves_) next = std::min(next, *doorLeaves_);
  if (readsAt_) next = std::min(next, *readsAt_);
  if (const auto at = caller_.nextTick()) next = std::min(next, *at);
  if (const auto at = door_.nextTick()) next = std::min(next, *at);
  return std::max(next, now);
}

}  // namespace rackroute::mesh
