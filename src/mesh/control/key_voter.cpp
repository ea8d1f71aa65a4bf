#include "mesh/control/key_voter.hpp"

#include <utility>

namespace rackroute::mesh {
namespace {

constexpr std::size_t kMaxPromisesPerRecord = 500;  // in recordAll()

}  // namespace

Result<bool> KeyVoter::restore(const std::string& key, const std::string& value) {
  return journal_.restore(key, value, promises_);
}

void KeyVoter::resume(Span now) {
  startedAt_ = now;
  uptimeAtStart_ = journal_.resume(promises_);
}

std::vector<Vote> KeyVoter::vote(Span now, const ClaimRequest& request, LifeNo life,
                                 std::vector<StoreEntry>& entries) {
  std::vector<Vote> votes;
  std::vector<PromiseJournal::Change> granted;
  for (const auto& [claim, key] : request.claims) {
    const Holder holder{request.at, life, claim};
    const Holder& current = promises_.claim(uptime(now), key, holder);
    if (current == holder) {
      granted.push_back({key, holder, false});
      votes.push_back({claim, std::nullopt});
    } else {
      votes.push_back({claim, current});
    }
  }
  if (!granted.empty()) entries.push_back(journal_.record(uptime(now), granted));
  return votes;
}

void KeyVoter::release(Span now, const ReleaseRequest& request, LifeNo life,
                       std::vector<StoreEntry>& entries) {
  std::vector<PromiseJournal::Change> released;
  for (const auto& [claim, key] : request.claims) {
    const Holder holder{request.at, life, claim};
    if (promises_.release(key, holder)) released.push_back({key, holder, true});
  }
  if (!released.empty()) entries.push_back(journal_.record(uptime(now), released));
}

void KeyVoter::expire(Span now, std::vector<StoreEntry>& entries) {
  promises_.expire(uptime(now));
  for (StoreEntry& removal : journal_.expire(uptime(now), keep_)) entries.push_back(std::move(removal));
}

void KeyVoter::recordAll(Span now, std::vector<StoreEntry>& entries) {
  std::vector<PromiseJournal::Change> changes;
  const auto flush = [&] {
    if (!changes.empty()) entries.push_back(journal_.record(uptime(now), std::exchange(changes, {})));
  };
  promises_.forEach([&](const KeyHash& key, const Holder& holder, Span) {
    changes.push_back({key, holder, false});
    if (changes.size() >= kMaxPromisesPerRecord) flush();
  });
  flush();
}

void KeyVoter::clear(std::vector<StoreEntry>& entries) {
  promises_ = Promises(keep_);
  for (StoreEntry& removal : journal_.clear()) entries.push_back(std::move(removal));
}

}  // namespace rackroute::mesh
