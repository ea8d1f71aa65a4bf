#pragma once

// Which registers are decided, and the prints of their values: the last versions of each name. It owns them
// and decides nothing; it must never go back on a decision.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mesh/control/agreement_store.hpp"
#include "mesh/control/effects.hpp"
#include "mesh/control/messages.hpp"

namespace rackroute::mesh {

/// What is known of a register, from the view of one value for it.
enum class RegisterState {
  open,       // not known to be decided
  same,       // decided with that value
  other,      // decided with another
  forgotten,  // so old that what was decided is not remembered; a value for it has no effect
};

class DecidedHistory {
 public:
  /// False: the entry is none of its own.
  bool restore(const std::string& key, const std::string& value);
  /// Sets of voters up to that epoch are decided, whether or not their prints are known.
  void votersDecidedTo(Epoch epoch) { votersDecidedTo_ = epoch; }
  /// True: it was not known.
  bool record(const RegisterId& id, std::uint64_t print);
  /// The entries of the names that changed since the last call.
  void writeChanges(Effects& effects);

  [[nodiscard]] RegisterState stateOf(const RegisterId& id, std::uint64_t print) const;
  [[nodiscard]] RegisterState stateOf(const Item& item) const { return stateOf(registerOf(item), item.hash); }
  /// Nothing, if the register is open.
  [[nodiscard]] std::optional<DecidedRegister> find(const RegisterId& id) const;
  /// The latest version of an item that is decided, if it is later than that of the register. Sets of voters
  /// have none: their epochs tell.
  [[nodiscard]] std::optional<DecidedRegister> laterThan(const RegisterId& id) const;
  /// The same, for all registers of the items.
  [[nodiscard]] std::vector<DecidedRegister> laterThan(const std::vector<Item>& items) const;
  [[nodiscard]] std::vector<DecidedRegister> all() const;

 private:
  using Versions = std::vector<agreement_store::DecidedVersion>;  // ascending

  std::map<ItemKey, Versions> names_;
  std::set<ItemKey> changed_;
  Epoch votersDecidedTo_;
};

}  // namespace rackroute::mesh
