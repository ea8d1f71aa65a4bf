#include "fleet/gossip_queue.hpp"

namespace rackroute::fleet {

void GossipQueue::add(const MemberUpdate& update) {
  Entry& entry = entries_[update.id];
  queue_.erase({entry.transmissions, entry.order, update.id});
  entry = {update, 0, UINT64_MAX - ++lastOrder_};
  queue_.insert({0, entry.order, update.id});
}

std::vector<MemberUpdate> GossipQueue::next(std::size_t maxBytes, std::uint32_t maxTransmissions) {
  std::vector<MemberUpdate> updates;
  std::vector<Key> sent;
  for (auto at = queue_.begin(); at != queue_.end(); at = queue_.erase(at)) {
    const MemberUpdate& update = entries_.at(std::get<2>(*at)).update;
    if (maxEncodedSize(update) > maxBytes) break;
    maxBytes -= maxEncodedSize(update);
    updates.push_back(update);
    sent.push_back(*at);
  }
  for (const auto& [count, order, id] : sent) {
    Entry& entry = entries_.at(id);
    if (++entry.transmissions >= maxTransmissions)
      entries_.erase(id);
    else
      queue_.insert({entry.transmissions, order, id});
  }
  return updates;
}

void GossipQueue::clear() {
  entries_.clear();
  queue_.clear();
}

}  // namespace rackroute::fleet
