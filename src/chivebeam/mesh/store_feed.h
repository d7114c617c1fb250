#pragma once

#include <functional>

#include "store/config_store.h"

namespace chivebeam {

/// What a feed tells of one part of the store.
class feed_listener {
public:
  virtual ~feed_listener() = default;
  /// Everything that is there now.
  virtual void listed(const std::vector<store_entry> &Entries) = 0;
  virtual void changed(const watch_event &Event) = 0;
};

/// Follows all keys under a prefix: lists them, then watches, and lists again
/// when the watch broke or missed something. While changes come in quick
/// succession it pauses and then reads only the newest state, so that large
/// values don't fill the link. Runs on one io_context; not thread safe.
class store_feed {
public:
  /// Gather: after a change the feed waits so long for others to come with it,
  /// which saves calls where the change is known sooner from elsewhere.
  /// \pre Store and Listener outlive the feed; nobody else watches with Store.
  store_feed(config_store &Store, std::string Prefix, feed_listener &Listener,
             milliseconds Gather);

  /// Follows until the context stops.
  awaitable<void> run();
  /// Lists anew, for instance after this process was suspended.
  void refresh();
  /// True while the store answers this node.
  bool inTouch() const { return InTouch; }
  /// False while changes may have come that this node has not read yet.
  bool isCurrent(instant Now) const;
  /// When the store stopped answering; the present is within the outage if
  /// inTouch is false.
  instant lostAt() const { return LostAt; }
  /// True once a whole listing was read.
  bool everListed() const { return EverListed; }

private:
  awaitable<bool> list();
  /// Returns true if it ended only for a pause.
  awaitable<bool> watch();
  /// Watches until a storm of changes or a break; returns true for a storm.
  awaitable<bool> followWatches();
  /// Waits longer after each failure in a row.
  awaitable<void> backOff();
  void noteContact(bool Reached, std::string_view Why);

  config_store &Store;
  std::string Prefix;
  feed_listener &Listener;
  milliseconds Gather;
  store_revision Revision;
  store_revision NewestEntry; ///< of the last listing
  microseconds Backoff{0};
  instant LastEvent;
  bool Pausing = false;
  bool InTouch = false;
  bool WatchOpen = false;
  instant ListedAt;
  bool EverListed = false;
  instant LostAt;
};

} // namespace chivebeam
