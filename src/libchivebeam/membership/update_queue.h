#pragma once

#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "base/names.h"

namespace chivebeam {

/// Urgent updates may be sent while the budget holds back ordinary ones.
enum class update_priority { urgent = 0, ordinary = 1 };

/// Selects the updates to piggyback on the next message. Each item is sent a
/// limited number of times; urgent items go first, then those that were sent
/// the fewest times. Adding or taking an item takes logarithmic time. Not
/// thread safe.
template <typename Key> class update_queue {
public:
  /// Adds an item, or resets its send count if it is queued already.
  void add(const Key &Item,
           update_priority Priority = update_priority::ordinary) {
    if (auto Found = Positions.find(Item); Found != Positions.end())
      Order.erase(Found->second);
    place({Priority, 0, NextSequence++, Item});
  }

  /// Returns the items in order and counts them as sent. Stops before the first
  /// item whose priority is below Lowest or for which Accept returns false.
  /// Items that have been sent MaxSends times are dropped.
  template <typename Accepts>
  std::vector<Key> take(unsigned MaxSends, update_priority Lowest,
                        Accepts Accept) {
    std::vector<position> Taken;
    for (const position &Position : Order) {
      if (std::get<update_priority>(Position) > Lowest ||
          !Accept(std::get<Key>(Position)))
        break;
      Taken.push_back(Position);
    }
    std::vector<Key> Items;
    for (position &Position : Taken) {
      Items.push_back(std::get<Key>(Position));
      Order.erase(Position);
      Positions.erase(Items.back());
      if (++std::get<unsigned>(Position) < MaxSends)
        place(Position);
    }
    return Items;
  }

  bool empty() const { return Order.empty(); }
  std::size_t size() const { return Order.size(); }
  /// True if the first item is urgent.
  bool hasUrgent() const {
    return !Order.empty() &&
           std::get<update_priority>(*Order.begin()) == update_priority::urgent;
  }

private:
  /// Priority, times sent, sequence of insertion, item.
  using position = std::tuple<update_priority, unsigned, std::uint64_t, Key>;

  void place(const position &Position) {
    Positions[std::get<Key>(Position)] = Order.insert(Position).first;
  }

  std::set<position> Order;
  std::map<Key, typename std::set<position>::iterator> Positions;
  std::uint64_t NextSequence = 0;
};

} // namespace chivebeam
