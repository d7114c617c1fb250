#include "mesh/retry_decider.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Refusal ratio downstream above which a server's failure is attributed to
/// overload of the services that it calls.
constexpr unsigned DownstreamOverloadPermille = 100;
constexpr unsigned LowestUrgency = ~0U;
/// A retried call sends its nested calls again, which no retry budget can
/// prevent. So a call is not retried once this part of the retry budgets of
/// downstream services is used.
constexpr unsigned MaxDownstreamRetryBudgetPermille = 300;
/// Largest number of home nodes that are asked to run one call. If so many have
/// no capacity, the service is full, and further attempts cost more than they
/// gain.
constexpr unsigned MaxHomeNodesAsked = 6;
/// An attempt is retried only if this percentage of the usual run time is left
/// before the deadline. The threshold is below the mean since half of the calls
/// are faster, as in the queue of home nodes.
constexpr int MinAttemptPercent = 60;
/// Shortest time in which another attempt can complete.
constexpr milliseconds MinAttemptTime{10};

} // namespace

bool retry_decider::retryIsUseful(const entry_call &Entry,
                                  attempt_outcome Outcome, instant Now) const {
  const mesh_call &Call = Entry.Call;
  if (!State.suspects().mayRetry(Call.Fingerprint))
    return false;
  // If a server failed because the services it calls are overloaded, the call
  // would fail on other servers as well.
  const endpoint_group *Group =
      findGroup(*Entry.View, Call.Service, Entry.Version);
  overload_view Observed =
      Group ? Picker.overload(*Group, Now) : overload_view();
  bool DownstreamOverloaded =
      Outcome == attempt_outcome::server_failed &&
      highestRefusalRatio(Observed.Downstream, LowestUrgency) >
          DownstreamOverloadPermille;
  return !DownstreamOverloaded && Observed.DownstreamRetryBudgetPermille <=
                                      MaxDownstreamRetryBudgetPermille;
}

bool retry_decider::mayRetry(const entry_call &Entry, attempt_outcome Outcome,
                             instant Now) {
  return retryIsUseful(Entry, Outcome, Now) &&
         RetryBudget.takeRetry(Entry.Call.Service, Now);
}

bool retry_decider::mayMoveOn(const entry_call &Entry, instant Now) {
  attempt_history History = Entry.History;
  ++History.ServersReached;
  History.UntriedServerLeft = mayAskAnotherNode(Entry);
  History.TimeLeft = hasTimeForAttempt(Entry, Now);
  auto BudgetLeft = [&] {
    return retryIsUseful(Entry, attempt_outcome::lost, Now) &&
           RetryBudget.hasRetryLeft(Entry.Call.Service, Now);
  };
  return decideNext(attempt_outcome::lost, History, BudgetLeft) ==
         next_step::retry;
}

bool retry_decider::hasTimeForAttempt(const entry_call &Entry,
                                      instant Now) const {
  microseconds MinRemaining =
      usualTime(Entry, endpoint(), Now) * MinAttemptPercent / 100;
  return Now + std::max<microseconds>(MinRemaining, MinAttemptTime) <
         Entry.Call.Deadline;
}

bool retry_decider::mayAskAnotherNode(const entry_call &Entry) const {
  if (Entry.HomeNodesAsked >= MaxHomeNodesAsked)
    return false;
  const endpoint_group *Group =
      findGroup(*Entry.View, Entry.Call.Service, Entry.Version);
  if (!Group)
    return false;
  auto IsUntried = [&](const endpoint &Endpoint) {
    return !Entry.Tried.contains(Endpoint.Node);
  };
  return std::any_of(Group->Local.begin(), Group->Local.end(), IsUntried) ||
         std::any_of(Group->Remote.begin(), Group->Remote.end(), IsUntried);
}

void retry_decider::recordAttempt(entry_call &Entry, const mesh_answer &Answer,
                                  instant Now) const {
  if (reachedServer(Answer.Outcome)) {
    ++Entry.History.ServersReached;
    Entry.Call.IsRetry = true;
  }
  Entry.HomeNodesAsked += Answer.Unreachable ? 0 : 1;
  Entry.View = State.view() ? State.view() : Entry.View;
  // In a shortage, the excess of a workspace must not load further nodes.
  Entry.History.UntriedServerLeft =
      !Answer.BeyondShare && mayAskAnotherNode(Entry);
  Entry.History.TimeLeft = hasTimeForAttempt(Entry, Now);
}

microseconds retry_decider::usualTime(const entry_call &Entry,
                                      const endpoint &Endpoint,
                                      instant Now) const {
  microseconds Known = Picker.usualTime(Entry.Call.Route, Endpoint, Now);
  return Known.count() > 0 ? Known : Entry.AssumedDuration;
}

} // namespace chivebeam
