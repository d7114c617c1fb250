#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "membership/membership.h"

namespace chivebeam::stand_ins {

/// Loss, duplication and delay of messages between the nodes of a gossip_loop.
struct link_quality {
  double Loss = 0;      ///< fraction of messages that are lost
  double Duplicate = 0; ///< fraction of messages that are delivered twice
  microseconds MinDelay{500};
  microseconds MaxDelay{2'500}; ///< above MinDelay, messages may be reordered
};

/// Simulates a network of membership objects in virtual time: a loop over a
/// queue of ticks and deliveries. Each node is identified by its index, which
/// is its port minus one. Not thread safe.
class gossip_loop {
public:
  /// Bytes and messages of one node since add or resetTraffic, headers
  /// included.
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

  /// Adds a node, starts it and returns its index. Sets the address of Record.
  /// Known holds the indexes of the contacts of the node.
  std::size_t add(member_record Record, const std::vector<std::size_t> &Known);
  void stop(std::size_t Node) { Nodes[Node].Running = false; }
  /// Restarts a node with an empty member table, except for its own record, and
  /// the contacts Known.
  void restart(std::size_t Node, incarnation Incarnation,
               const std::vector<std::size_t> &Known);

  void run(microseconds Duration);
  /// Runs until Holds returns true, checked every 10 ms. Returns the time that
  /// this took, or nothing if Holds was false for Limit.
  std::optional<microseconds> runUntil(const std::function<bool()> &Holds,
                                       microseconds Limit);

  link_quality &quality() { return Quality; }
  /// Messages are delivered only if Filter returns true.
  void setFilter(link_filter NewFilter) { Filter = std::move(NewFilter); }
  membership &node(std::size_t Node) { return *Nodes[Node].Member; }
  bool running(std::size_t Node) const { return Nodes[Node].Running; }
  std::size_t size() const { return Nodes.size(); }
  instant now() const { return Now; }
  const traffic &trafficOf(std::size_t Node) const {
    return Nodes[Node].Traffic;
  }
  /// Resets all traffic counts to zero.
  void resetTraffic();
  /// True if all running nodes have equal tables in which exactly the running
  /// nodes are not dead.
  bool agrees() const;
  /// Called with each sent message and its encoded size in bytes with headers.
  std::function<void(const addressed_message &, std::size_t)> OnSend;

private:
  struct member {
    std::unique_ptr<membership> Member;
    bool Running = false;
    std::uint64_t StartCount = 0;
    traffic Traffic;
  };
  /// Delivery of Message, or a tick of the node if Message is null.
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
