#pragma once

#include <functional>

#include "store/config_store.h"

namespace chivebeam {

/// Receives the entries and changes of one part of the store.
class store_listener {
public:
  virtual ~store_listener() = default;
  /// Receives all entries as of the listing's revision. A listing may be older
  /// than changes that were delivered before.
  virtual void onListed(const range_answer &Listing) = 0;
  virtual void onChanged(const watch_event &Event) = 0;
};

/// How a node uses a subscription.
enum class subscription_mode {
  off,
  /// The node reads for itself while no watcher does. Many nodes may be in this
  /// mode together, so it costs the store less than primary: the first listing
  /// may be stale, which the watch makes up for, and retries are rarer.
  standby,
  /// The node is a watcher, which reads for others as well.
  primary,
};

/// Sets how soon a subscription reads changes of the store.
struct subscription_settings {
  /// Time that the subscription waits after a change to read further changes
  /// with it. This saves calls to the store where nodes learn of changes sooner
  /// from their peers.
  milliseconds BatchDelay{0};
  /// Interval of listings that may be stale and cost the store little. They
  /// replace the watch after the settle time; zero: always watch.
  milliseconds PollInterval{0};
  /// Time after a start or an interruption in which the subscription does not
  /// poll, since all nodes write their entries again then.
  milliseconds SettleTime{6'000};
  /// Returns whether changes must be read at once; null: never.
  std::function<bool()> IsUrgent{};
  /// Returns how the subscription is used now; null: primary.
  std::function<subscription_mode()> Mode{};
  /// Called after each answer that shows that all changes were read.
  std::function<void()> OnCurrent{};
};

/// Subscribes to all keys under a prefix: lists them, then watches, and lists
/// again if the watch broke or missed changes. During a burst of changes it
/// pauses and then reads only the newest state, so that large values don't fill
/// the link. Runs on one io_context; not thread safe.
class store_subscription {
public:
  /// A subscription whose last answer is older is not current. Longer than the
  /// pause between listings in a burst and the listing itself.
  static constexpr milliseconds MaxAnswerAge{1'800};

  /// \pre Store and Listener outlive the subscription; no other watch uses
  /// Store.
  store_subscription(config_store &Store, std::string Prefix,
                     store_listener &Listener, subscription_settings Settings);

  /// Lists and watches while it is wanted, until the context stops.
  awaitable<void> run();
  /// Ends the watch and lists again, for instance after this machine was
  /// suspended.
  void refresh();
  /// Forgets all revisions and lists again, after the store came back from an
  /// older copy.
  void restart();
  /// True while the store answers this node.
  bool isConnected() const { return Connected; }
  /// Returns when this node had last read all changes; zero if it does not
  /// know.
  instant currentAt() const { return Connected ? CurrentAt : instant(); }
  /// False if there may be changes that this node has not read yet.
  bool isCurrent(instant Now) const {
    return Connected && Now < CurrentAt + MaxAnswerAge;
  }

private:
  awaitable<bool> list();
  /// Reads stale listings for as long as polling is allowed.
  awaitable<void> poll();
  bool mayPoll() const;
  subscription_mode mode() const {
    return Settings.Mode ? Settings.Mode() : subscription_mode::primary;
  }
  bool isWanted() const { return mode() != subscription_mode::off; }
  /// Notes that all changes up to this time were read.
  void setCurrentAt(instant At);
  /// Waits until the subscription is wanted.
  awaitable<void> waitUntilWanted();
  bool isUrgent() const { return Settings.IsUrgent && Settings.IsUrgent(); }
  /// Returns the pause between listings in a burst; it leaves the link to calls
  /// for most of the time.
  microseconds burstPauseTime() const;
  /// Returns true if the watch was ended for a pause, false if it broke.
  awaitable<bool> watch();
  /// Watches until a burst of changes or a break; returns true for a burst.
  awaitable<bool> runWatches();
  /// Waits with exponential backoff and jitter.
  awaitable<void> backOff();
  void setConnected(bool Reached, std::string_view Why);

  config_store &Store;
  std::string Prefix;
  store_listener &Listener;
  subscription_settings Settings;
  store_revision Revision;
  store_revision NewestModification; ///< highest of the last listing
  microseconds Backoff{0};
  instant LastEvent;
  bool BurstPause = false;
  bool Connected = false;
  bool Restarting = false;
  bool HistoryGone = false; ///< the last watch began before the store's history
  instant CurrentAt;        ///< all changes up to this time were read
  microseconds ListDuration{0}; ///< of the last full listing
  instant SettledAt;            ///< polling is allowed from this time
  bool EverDisconnected = false;
};

} // namespace chivebeam
