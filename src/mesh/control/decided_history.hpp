#pragma once

// History of decided registers with the hashes of their values, limited to the latest versions of each
// item name. A recorded decision is never replaced by another value.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mesh/control/agreement_store.hpp"
#include "mesh/control/effects.hpp"
#include "mesh/control/messages.hpp"

namespace rackroute::mesh {

/// State of a register with respect to a given value.
enum class RegisterState {
  open,        // not known to be decided
  sameValue,   // decided with the given value
  otherValue,  // decided with another value
  expired,     // decided, but no longer in the history; proposing a value has no effect
};

/// The decided versions per item name.
class DecidedHistory {
 public:
  /// Returns false if the key does not belong to the history.
  bool restore(const std::string& key, const std::string& value);
  /// Marks all voter sets up to that epoch as decided, even where their hashes are unknown.
  void setVotersDecidedUpTo(Epoch epoch) { votersDecidedUpTo_ = epoch; }
  /// Returns true if the decision was not known before.
  bool record(const RegisterId& id, std::uint64_t hash);
  /// Appends store entries for the names that changed since the last call.
  void writeChanges(Effects& effects);

  [[nodiscard]] RegisterState stateOf(const RegisterId& id, std::uint64_t hash) const;
  [[nodiscard]] RegisterState stateOf(const Item& item) const { return stateOf(registerOf(item), item.hash); }
  /// Returns nothing if the register is not known to be decided.
  [[nodiscard]] std::optional<DecidedRegister> find(const RegisterId& id) const;
  /// Returns the latest decided version of the register's item, if it is later than the register's. Always
  /// nothing for voter sets, as their epochs already order them.
  [[nodiscard]] std::optional<DecidedRegister> laterThan(const RegisterId& id) const;
  /// The latest decided versions that are later than those of the given items.
  [[nodiscard]] std::vector<DecidedRegister> laterThan(const std::vector<Item>& items) const;
  [[nodiscard]] std::vector<DecidedRegister> all() const;

 private:
  using Versions = std::vector<agreement_store::DecidedVersion>;  // ascending

  std::map<ItemKey, Versions> names_;
  std::set<ItemKey> changed_;
  Epoch votersDecidedUpTo_;
};

}  // namespace rackroute::mesh
