#pragma once

// The promises of one control process: for each operation key, the claims that hold it. A key has one holder
// as long as this process only votes. Promises read from other voters may add holders, because a losing claim
// may have been promised the key by some of them. A key is free once all its holders have released it or the
// promise has expired. Promises are kept in memory only; a promise must not be disclosed before it is on
// disk.

#include <cstddef>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mesh/claims/key_hash.hpp"
#include "mesh/names.hpp"

namespace rackroute::mesh {

class Promises {
 public:
  struct Promise {
    Holder holder;  // the first holder; holders() returns all
    Span at{};      // time of the latest promise among the holders
  };
  /// keep: how long a promise is valid.
  explicit Promises(Span keep) : keep_(keep) {}

  /// Promises the key to the claim if it is free. Returns the key's holder afterwards: the claim itself, if
  /// it is the only holder, else one of the others.
  const Holder& claim(Span now, const KeyHash& key, const Holder& claim);
  /// Releases the key for a holder that has not run and will not run. True if it held the key. Other holders
  /// are not affected.
  bool release(const KeyHash& key, const Holder& holder);
  /// Adds a promise that was made earlier by this process or by another voter.
  void learn(Span at, const KeyHash& key, const Holder& holder);
  /// Removes expired promises with all their holders, at most a fixed number per call. Returns their keys.
  std::vector<KeyHash> expire(Span now);

  [[nodiscard]] const std::unordered_map<KeyHash, Promise, KeyHashHasher>& all() const { return promises_; }
  /// All holders of the key; empty if the key is free.
  [[nodiscard]] std::vector<Holder> holders(const KeyHash& key) const;
  /// Visits each holder of each key, in no particular order.
  void forEach(const std::function<void(const KeyHash&, const Holder&, Span at)>& visit) const;

 private:
  /// The holders beyond the first. Stored separately because few keys have any.
  struct FurtherHolders {
    std::vector<Holder> holders;
    bool overflowed = false;  // the limit was exceeded; the key stays promised until it expires
  };
  using FurtherHoldersByKey = std::unordered_map<KeyHash, FurtherHolders, KeyHashHasher>;
  void learnFurther(const KeyHash& key, const Holder& holder);

  Span keep_;
  std::unordered_map<KeyHash, Promise, KeyHashHasher> promises_;
  FurtherHoldersByKey further_;
  std::vector<std::pair<Span, KeyHash>> order_;  // by time of promise; entries may be outdated
  std::size_t first_ = 0;                        // first entry of order_ that has not expired
};

}  // namespace rackroute::mesh
