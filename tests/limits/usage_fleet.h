#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <queue>

#include "base/random.h"
#include "limits/usage_client.h"

namespace chivebeam {

/// A call that arrived at an entry node.
struct usage_call {
  workspace_name Workspace;
  instant SentAt;
  instant DecidedAt;
  bool Admitted = false;
};

/// A fleet of entry nodes and owners in virtual time. Messages take 1 to 10 ms.
/// Not thread safe.
class usage_fleet {
public:
  /// Two nodes of each domain are watchers.
  usage_fleet(unsigned Nodes, unsigned Domains, std::uint64_t Seed);

  /// Sets the caps on each node, at once.
  void setCaps(const usage_caps &New);
  /// Sets the calls a second of a workspace, which arrive at all nodes.
  void setDemand(const workspace_name &Name, double PerSecond);
  void run(milliseconds Duration);
  /// Cuts a node off from all others.
  void cut(unsigned Node) { Nodes[Node].Cut = true; }
  /// Ends all cuts.
  void heal();
  /// Kills a node. If it was a watcher, another one of its domain takes its
  /// place after Takeover.
  void kill(unsigned Node, milliseconds Takeover);
  /// Replaces a watcher that the others take for gone by another node.
  void replaceWatcher(unsigned Node);
  /// Restarts all nodes, which know each other after a second.
  void restartAll();
  /// Returns the node that owns the part of a domain.
  unsigned ownerOf(const workspace_name &Name, unsigned Domain) const;
  bool isWatcher(unsigned Node) const { return Records[Node].Watches; }

  instant now() const { return Now; }
  const std::vector<usage_call> &calls() const { return Calls; }
  std::uint64_t messages() const { return Messages; }

private:
  struct node {
    std::unique_ptr<usage_client> Client;
    usage_owner Owner;
    bool Cut = false;
    bool Dead = false;
    std::map<workspace_name, std::deque<std::size_t>> Waiting;
  };
  struct event {
    instant At;
    std::uint64_t Number = 0;
    std::function<void()> Action;
    bool operator<(const event &Other) const {
      return std::pair(At, Number) > std::pair(Other.At, Other.Number);
    }
  };

  void after(microseconds Delay, std::function<void()> Action);
  void arrive(const workspace_name &Name, std::uint64_t Era);
  void tick();
  void applyNodes();
  void send(unsigned From, std::vector<usage_request> Requests);
  void deliver(unsigned From, unsigned To, std::function<void()> Action);
  usage_message answer(unsigned To, unsigned From, const usage_message &Asks);
  void serve(unsigned Node, const std::vector<workspace_name> &Names);
  void end(std::size_t Call, bool Admitted);
  unsigned numberOf(const node_id &Name) const;

  random_source Random;
  instant Now = instant(seconds(1'000));
  std::vector<node> Nodes;
  std::vector<home_record> Records;
  usage_caps Caps;
  std::map<workspace_name, std::pair<double, std::uint64_t>> Demand;
  std::priority_queue<event> Events;
  std::uint64_t NextEvent = 0;
  std::uint64_t Messages = 0;
  std::vector<usage_call> Calls;
};

} // namespace chivebeam
