#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "membership/membership.h"

namespace chivebeam::stand_ins {

/// How messages travel between the nodes of a gossip_loop.
struct link_quality {
  double Loss = 0;      ///< share of messages lost
  double Duplicate = 0; ///< share of messages delivered twice
  microseconds MinDelay{500};
  microseconds MaxDelay{2'500}; ///< messages cross when this is above MinDelay
};

/// Delivers messages between instances of membership in virtual time: a loop
/// over a queue of ticks and deliveries. Each node is known by its index, which
/// is also its port less one. Not thread safe.
class gossip_loop {
public:
  /// Bytes of one node since its start, headers included.
  struct traffic {
    std::uint64_t Sent = 0;
    std::uint64_t Received = 0;
    std::uint64_t Messages = 0;
    std::uint64_t PeakPerSecond = 0; ///< sent and received within one second
    std::uint64_t ThisSecond = 0;
    std::int64_t Second = 0;
  };
  using link_filter = std::function<bool(std::size_t From, std::size_t To)>;

  gossip_loop(membership_settings Settings, std::uint64_t Seed);

  /// Adds a node and starts it. The record's address is filled in.
  std::size_t add(member_record Record, const std::vector<std::size_t> &Known);
  void stop(std::size_t Node) { Nodes[Node].Running = false; }
  /// Starts a stopped node anew: it knows nothing but its contacts.
  void restart(std::size_t Node, incarnation Incarnation,
               const std::vector<std::size_t> &Known);

  void run(microseconds Duration);
  /// Runs until Holds, checked every 10 ms. Returns how long it took, or
  /// nothing if it did not hold within Limit.
  std::optional<microseconds> runUntil(const std::function<bool()> &Holds,
                                       microseconds Limit);

  link_quality &quality() { return Quality; }
  /// Messages pass only where Filter returns true.
  void setFilter(link_filter NewFilter) { Filter = std::move(NewFilter); }
  membership &node(std::size_t Node) { return *Nodes[Node].Member; }
  bool running(std::size_t Node) const { return Nodes[Node].Running; }
  std::size_t size() const { return Nodes.size(); }
  instant now() const { return Now; }
  const traffic &trafficOf(std::size_t Node) const {
    return Nodes[Node].Traffic;
  }
  /// Starts all byte counts afresh.
  void resetTraffic();
  /// True if all running nodes have equal tables of just the running nodes.
  bool agrees() const;
  /// Called with each message when it is sent, with its encoded size.
  std::function<void(const addressed_message &, std::size_t)> OnSend;

private:
  struct member {
    std::unique_ptr<membership> Member;
    bool Running = false;
    std::uint64_t StartCount = 0;
    traffic Traffic;
  };
  /// A tick if there is no message.
  struct event {
    instant Due;
    std::uint64_t Order = 0;
    std::size_t Node = 0;
    std::uint64_t StartCount = 0;
    std::size_t From = 0;
    std::size_t Bytes = 0;
    std::shared_ptr<const gossip_message> Message;

    bool operator>(const event &Other) const {
      return std::tie(Due, Order) > std::tie(Other.Due, Other.Order);
    }
  };

  void launch(std::size_t Node, member_record Record,
              const std::vector<std::size_t> &Known);
  void push(event Event);
  void handle(const event &Event);
  void send(std::size_t From, const std::vector<addressed_message> &Messages);
  void count(member &Member, std::size_t Bytes);
  instant arrival();

  membership_settings Settings;
  random_source Random;
  link_quality Quality;
  link_filter Filter;
  std::vector<member> Nodes;
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  std::uint64_t NextOrder = 0;
  instant Now{seconds(1'000'000)};
};

} // namespace chivebeam::stand_ins
