#pragma once

// What one control process has promised: for each operation key the claims that hold it. A key has one holder
// as long as this process only votes; reading the promises of other voters may add more, as a claim that lost
// may have left its promise with some of them. The key is free once all of them are released or its time is
// over. Promises own the table and know no disk and no sockets; nothing may be told of a promise before it is
// on disk.

#include <cstddef>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mesh/claims/key_print.hpp"
#include "mesh/names.hpp"

namespace rackroute::mesh {

class Promises {
 public:
  struct Promise {
    Holder holder;  // the first of them; the others are in holders()
    Span at{};      // the latest at which one of them was promised
  };
  /// How long a promise is kept.
  explicit Promises(Span keep) : keep_(keep) {}

  /// Who holds the key after this claim: the claimer itself, if no other holder is left; else one of the
  /// others.
  const Holder& claim(Span now, const KeyPrint& key, const Holder& claim);
  /// The holder never ran and never will; true if it held the key and no longer does. Others that hold it
  /// stay.
  bool giveBack(const KeyPrint& key, const Holder& holder);
  /// What was promised earlier, by this process or by another whose promises are read; holders that are known
  /// stay.
  void learn(Span at, const KeyPrint& key, const Holder& holder);
  /// Keys whose promises have ended, a bounded number a call; they are forgotten with all their holders.
  std::vector<KeyPrint> expire(Span now);

  [[nodiscard]] const std::unordered_map<KeyPrint, Promise, HashKeyPrint>& all() const { return promises_; }
  /// All holders of one key; none, if it is free.
  [[nodiscard]] std::vector<Holder> holders(const KeyPrint& key) const;
  /// Each holder of each key, in no order.
  void each(const std::function<void(const KeyPrint&, const Holder&, Span at)>& visit) const;

 private:
  /// Holders beyond the first. Few keys have any, so that they take no room in the table of promises.
  struct Further {
    std::vector<Holder> holders;
    bool overflowed = false;  // more were learned than are kept: the key is held until its time is over
  };
  using FurtherHolders = std::unordered_map<KeyPrint, Further, HashKeyPrint>;
  void learnFurther(const KeyPrint& key, const Holder& holder);

  Span keep_;
  std::unordered_map<KeyPrint, Promise, HashKeyPrint> promises_;
  FurtherHolders further_;
  std::vector<std::pair<Span, KeyPrint>> order_;  // as promised; the first may have gone
  std::size_t first_ = 0;
};

}  // namespace rackroute::mesh
