#pragma once

#include <cstdint>

#include "base/random.h"
#include "base/units.h"

namespace chivebeam {

/// Decides whether a node that is no watcher relies on watchers for the
/// operator's documents or reads them from the store itself. A node relies on
/// watchers only while one of them has read the store recently, so that a
/// configuration is in force within two seconds even if all watchers fall
/// silent. Not thread safe.
class watcher_reliance {
public:
  /// Longest time since a watcher read the store. Watchers read it each second.
  static constexpr milliseconds MaxReadAge{1'500};
  /// The reads of nodes that lose their watchers together are spread over this
  /// time.
  static constexpr milliseconds MaxReadDelay{150};
  /// A node that reads the store relies on watchers again after they have been
  /// current for this time.
  static constexpr milliseconds MinCurrentTime{2'000};
  /// When the whole system starts for the first time, watchers are elected
  /// within this time. Some more of it is added at random.
  static constexpr milliseconds ElectionTime{1'500};

  /// FirstStart says that the whole system starts for the first time.
  watcher_reliance(bool FirstStart, std::uint64_t Seed)
      : FirstStart(FirstStart), Random(Seed) {}

  /// Decides whether this node reads the store itself now. WatcherReadAt is the
  /// last time at which a watcher that this node hears had read all changes of
  /// the store; zero if there was none. \pre Now does not decrease.
  bool readsStore(instant WatcherReadAt, instant Now);

private:
  microseconds below(microseconds Limit);

  bool FirstStart;
  random_source Random;
  bool Reading = false;
  instant ReadFrom;     ///< without a current watcher; zero: not set yet
  instant CurrentSince; ///< zero: no watcher is current
};

} // namespace chivebeam
