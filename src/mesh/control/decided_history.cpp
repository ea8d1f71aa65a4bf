#include "mesh/control/decided_history.hpp"

#include <algorithm>

namespace rackroute::mesh {
namespace {

// Bounds memory and disk usage; far more versions than operators have in flight.
constexpr std::size_t kMaxVersionsPerItem = 32;

}  // namespace

bool DecidedHistory::restore(const std::string& key, const std::string& value) {
  if (!key.starts_with(agreement_store::kHistoryPrefix)) return false;
  const auto name = keyOf(std::string_view(key).substr(agreement_store::kHistoryPrefix.size()));
  if (!name) return true;
  for (const auto& entry : agreement_store::parseHistory(value)) {
    record({*name, entry.version}, entry.hash);
  }
  changed_.erase(*name);
  return true;
}

bool DecidedHistory::record(const RegisterId& id, std::uint64_t hash) {
  Versions& versions = names_[id.item];
  const auto place =
      std::lower_bound(versions.begin(), versions.end(), id.version,
                       [](const auto& entry, const Generation& version) { return entry.version < version; });
  if (place != versions.end() && place->version == id.version) return false;
  if (versions.size() >= kMaxVersionsPerItem && place == versions.begin()) return false;
  versions.insert(place, {id.version, hash});
  if (versions.size() > kMaxVersionsPerItem) versions.erase(versions.begin());
  changed_.insert(id.item);
  return true;
}

void DecidedHistory::writeChanges(Effects& effects) {
  for (const ItemKey& name : changed_) {
    effects.entries.emplace_back(agreement_store::historyKey(name),
                                 agreement_store::formatHistory(names_.at(name)));
  }
  changed_.clear();
}

std::optional<DecidedRegister> DecidedHistory::find(const RegisterId& id) const {
  const auto name = names_.find(id.item);
  if (name != names_.end()) {
    const Versions& versions = name->second;
    const auto entry = std::find_if(versions.begin(), versions.end(),
                                    [&id](const auto& known) { return known.version == id.version; });
    if (entry != versions.end()) return DecidedRegister{id, entry->hash};
    if (versions.size() >= kMaxVersionsPerItem && id.version < versions.front().version) {
      return DecidedRegister{id, 0};
    }
  }
  if (id.item.kind == ItemKind::voters && id.version.value <= votersDecidedUpTo_.value) {
    return DecidedRegister{id, 0};
  }
  return std::nullopt;
}

RegisterState DecidedHistory::stateOf(const RegisterId& id, std::uint64_t hash) const {
  const auto decided = find(id);
  if (!decided) return RegisterState::open;
  if (decided->hash == 0) return RegisterState::expired;
  return decided->hash == hash ? RegisterState::sameValue : RegisterState::otherValue;
}

std::optional<DecidedRegister> DecidedHistory::laterThan(const RegisterId& id) const {
  const auto name = names_.find(id.item);
  if (name == names_.end() || id.item.kind == ItemKind::voters) return std::nullopt;
  const auto& latest = name->second.back();
  if (latest.version <= id.version) return std::nullopt;
  return DecidedRegister{{id.item, latest.version}, latest.hash};
}

std::vector<DecidedRegister> DecidedHistory::laterThan(const std::vector<Item>& items) const {
  std::vector<DecidedRegister> later;
  for (const Item& item : items) {
    if (auto latest = laterThan(registerOf(item))) later.push_back(std::move(*latest));
  }
  return later;
}

std::vector<DecidedRegister> DecidedHistory::all() const {
  std::vector<DecidedRegister> registers;
  for (const auto& [name, versions] : names_) {
    for (const auto& entry : versions) registers.push_back({{name, entry.version}, entry.hash});
  }
  return registers;
}

}  // namespace rackroute::mesh
