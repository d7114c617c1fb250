#pragma once

#include <functional>

#include "store/config_store.h"

namespace chivebeam {

/// What a feed tells of one part of the store.
class store_listener {
public:
  virtual ~store_listener() = default;
  /// Everything that was there at the listing's revision. A listing may be
  /// older than what was told before.
  virtual void onListed(const range_answer &Listing) = 0;
  virtual void onChanged(const watch_event &Event) = 0;
};

/// How closely a feed follows the store.
struct subscription_settings {
  /// After a change the feed waits so long for others to come with it, which
  /// saves calls where the change is known sooner from elsewhere.
  milliseconds BatchDelay{0};
  /// Between listings that may be old and cost little, once the feed has
  /// settled; zero: it always watches.
  milliseconds PollInterval{0};
  /// After a start or an outage all nodes write their entries anew: the feed
  /// has settled so long after its last break.
  milliseconds SettleTime{6'000};
  /// Returns whether changes have to be known at once; null: never.
  std::function<bool()> IsUrgent;
};

/// Follows all keys under a prefix: lists them, then watches, and lists again
/// when the watch broke or missed something. While changes come in quick
/// succession it pauses and then reads only the newest state, so that large
/// values don't fill the link. Runs on one io_context; not thread safe.
class store_subscription {
public:
  /// \pre Store and Listener outlive the feed; nobody else watches with Store.
  store_subscription(config_store &Store, std::string Prefix,
                     store_listener &Listener, subscription_settings Settings);

  /// Follows until the context stops.
  awaitable<void> run();
  /// Lists anew, for instance after this process was suspended.
  void refresh();
  /// True while the store answers this node.
  bool isConnected() const { return Connected; }
  /// False while changes may have come that this node has not read yet.
  bool isCurrent(instant Now) const;

private:
  awaitable<bool> list();
  /// Lists cheaply for as long as that is enough.
  awaitable<void> poll();
  bool mayPoll() const;
  bool isUrgent() const { return Settings.IsUrgent && Settings.IsUrgent(); }
  /// The pause in a storm: most of the time the link is left to calls.
  microseconds burstPauseTime() const;
  /// Returns true if it ended only for a pause.
  awaitable<bool> watch();
  /// Watches until a storm of changes or a break; returns true for a storm.
  awaitable<bool> runWatches();
  /// Waits longer after each failure in a row.
  awaitable<void> backOff();
  void setConnected(bool Reached, std::string_view Why);

  config_store &Store;
  std::string Prefix;
  store_listener &Listener;
  subscription_settings Settings;
  store_revision Revision;
  store_revision NewestModification; ///< of the last listing
  microseconds Backoff{0};
  instant LastEvent;
  bool BurstPause = false;
  bool Connected = false;
  bool WatchOpen = false;
  instant ListedAt;
  microseconds ListDuration{0}; ///< the last whole listing
  instant SettledAt;            ///< polling is enough from then on
  bool EverDisconnected = false;
};

} // namespace chivebeam
