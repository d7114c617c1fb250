#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

#include "claims/claim_holder.h"
#include "claims/claim_shard.h"

namespace chivebeam::tests {

/// Fault that is injected at one step of a run.
enum class fault {
  lose,               ///< the message, store call or answer is lost
  duplicate,          ///< the message arrives twice
  delay,              ///< the message arrives late, after later messages
  kill_entry,         ///< the entry node of the first caller stops
  kill_home,          ///< its running call and the answer are lost
  refuse_at_home,     ///< home nodes refuse calls as not run for some time
  restart_owner,      ///< the owner loses its memory and stays owner
  kill_owner,         ///< another node becomes owner
  hand_over,          ///< another node becomes owner; the first keeps running
  hand_over_and_back, ///< as hand_over, and back after some time
  pause_owner,        ///< another node becomes owner; the first resumes later
  store_outage,       ///< store calls fail for some time
};
inline constexpr int FaultCount = 12;

struct planned_fault {
  std::size_t Step = 0;
  fault Kind = fault::lose;
};

/// Result reported to a caller of the scenario.
enum class caller_result { nothing, not_run, unknown, ran };

struct planned_call {
  milliseconds At{0};
  std::uint64_t Request = 1; ///< digest; a different value is a different body
};

/// Simulates a cluster in virtual time: two nodes that may own one claim log, a
/// store, a home node with its backend server, and callers that use the same
/// key. Each delivery of a message or a store call is a step; faults are
/// planned by step number.
class claim_simulation {
public:
  claim_simulation(const std::vector<planned_call> &Calls,
                   std::vector<planned_fault> Faults);

  /// Runs until no event is left or the run time has passed. Returns the number
  /// of steps.
  std::size_t run();

  unsigned executions() const;
  bool executed(std::size_t Caller) const;
  caller_result answerOf(std::size_t Caller) const {
    return Callers[Caller].Result;
  }
  /// The last verdict of the log's owner that reached the caller.
  std::optional<claim_verdict> verdictFor(std::size_t Caller) const {
    return Callers[Caller].Verdict;
  }
  /// True if a fault was injected at or after the caller's start.
  bool hadFaultSince(std::size_t Caller) const {
    return LastFaultAt >= Callers[Caller].StartedAt;
  }
  std::size_t callers() const { return Callers.size(); }

private:
  struct event {
    instant At;
    std::uint64_t Order = 0;
    bool IsMessage = false;
    std::function<void()> Run;

    friend bool operator>(const event &Left, const event &Right) {
      return std::tie(Left.At, Left.Order) > std::tie(Right.At, Right.Order);
    }
  };
  struct owner_node {
    std::unique_ptr<claim_shard> Shard;
    unsigned StartCount = 0;
    instant PausedUntil;
    std::uint64_t StoreCall = 0; ///< number of the current store call
    std::map<claim_ticket, std::size_t> Requesters;
  };
  enum class caller_state { idle, asking, calling, ended, dead };
  struct caller {
    claim_request Request;
    holder_times Times;
    caller_state State = caller_state::idle;
    caller_result Result = caller_result::nothing;
    std::optional<claim_verdict> Verdict;
    instant StartedAt;
    unsigned RequestCount = 0;
  };
  struct stored_segment {
    claim_segment Segment;
    log_position WrittenAt;
  };

  void at(instant Time, std::function<void()> Run);
  void message(std::function<void()> Run);
  bool deliver(event Event);
  bool applyFaults(event &Event);
  void applyNodeFault(fault Kind);
  void restart(std::size_t Node);
  void runOnNode(std::size_t Node, unsigned StartCount,
                 std::function<void()> Run);
  void runNode(std::size_t Node);
  void callStore(std::size_t Node, const log_step &Step);
  std::function<void(claim_shard &)> runInStore(const log_step &Step);
  commit_end commit(const claim_segment &Segment, log_position Expected);
  std::optional<instant> nextWake();

  void ask(std::size_t Caller);
  void answered(std::size_t Caller, std::optional<claim_answer> Answer);
  void call(std::size_t Caller);
  void endCall(std::size_t Caller, claim_outcome Outcome, caller_result Result);
  void refuse(std::size_t Caller, const std::optional<claim_answer> &Answer);

  std::vector<planned_fault> Faults;
  std::vector<caller> Callers;
  std::vector<owner_node> Nodes;
  std::size_t Owner = 0;
  std::map<claim_id, unsigned> Executed;
  unsigned HomeStartCount = 0;
  instant HomeRefusesUntil;
  instant StoreDownUntil;
  std::map<claim_sequence, stored_segment> Segments;
  log_position Head;
  std::uint64_t Revision = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  std::uint64_t NextOrder = 0;
  std::uint64_t NextTicket = 0;
  std::size_t Steps = 0;
  instant Now;
  instant LastFaultAt;
};

} // namespace chivebeam::tests
