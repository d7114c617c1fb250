// When a second copy of a call is sent, and what copies cost.
#include <algorithm>

#include "mesh/entry_router.h"
#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

bool entry_router::isHedgeable(const entry_call &Entry) const {
  // Hedging at one layer of a call tree only: copies of nested calls would
  // multiply with those of their parents.
  return Hedges.isEnabled(Entry.Call.Route) && Entry.Call.Idempotent &&
         !Entry.Call.Nested;
}

bool entry_router::takeHedge(entry_call &Entry, instant Now) {
  if (isEnding(Entry) || Closed || !Retries.mayMoveOn(Entry, Now))
    return false;
  const endpoint *Target = choose(Entry, Now);
  if (!Target)
    return false;
  hedge_copy Copy{Entry.Call.Route, Retries.usualTime(Entry, *Target, Now)};
  if (!Hedges.takeHedge(Copy, Picker.recentLoad(*Target, Now), Now))
    return false;
  Entry.Copy = open_copy{std::move(Copy), *Target, std::nullopt};
  return true;
}

void entry_router::recordWork(entry_call &Entry, const endpoint &Endpoint,
                              const mesh_answer &Answer, instant Now) {
  if (!isHedgeable(Entry) || Answer.Hedged || Answer.Silent)
    return;
  if (!Entry.Copy || Entry.Copy->Target.Node != Endpoint.Node) {
    Hedges.recordWork(Entry.Call.Route, Answer.RunTime, Now);
    return;
  }
  if (Answer.Outcome == attempt_outcome::answered)
    Metrics.count("hedges_won");
  bool HasNoTime = Answer.RunTime.count() == 0 &&
                   Answer.Outcome != attempt_outcome::not_sent;
  endCopy(Entry, HasNoTime ? std::nullopt : std::optional(Answer.RunTime), Now);
}

void entry_router::endCopy(entry_call &Entry,
                           std::optional<microseconds> RunTime, instant Now) {
  if (!Entry.Copy)
    return;
  microseconds Since =
      Entry.Copy->SentAt ? Now - *Entry.Copy->SentAt : microseconds(0);
  microseconds Took = RunTime.value_or(Since);
  Hedges.copyEnded(Entry.Copy->Copy, Took, Now);
  if (Entry.Copy->SentAt)
    log_event("copy_ended")
        .add("node", Settings.Node)
        .add("request", Entry.Call.Id)
        .add("route", Entry.Call.Route)
        .add("home", Entry.Copy->Target.Node)
        .add("took_us", Took.count())
        .add("base_ms", Hedges.baseWork().count() / 1'000)
        .add("extra_ms", Hedges.extraWork().count() / 1'000);
  Entry.Copy.reset();
}

void entry_router::checkHedgeRoutes() {
  const std::vector<route_rule> &Routes = State.view()->Config->routes();
  std::set<route_name> Unknown;
  for (const auto &[Name, Percent] : Settings.Hedging.RoutePercent)
    if (std::none_of(Routes.begin(), Routes.end(),
                     [&](const route_rule &Rule) { return Rule.Name == Name; }))
      Unknown.insert(Name);
  for (const route_name &Name : Unknown)
    if (!UnknownHedgeRoutes.contains(Name))
      log_event("hedge_route_unknown")
          .add("route", Name)
          .add("config", State.configNumber());
  UnknownHedgeRoutes = std::move(Unknown);
}

void entry_router::updateMetrics() {
  if (!Hedges.isEnabled())
    return;
  auto Seconds = [](microseconds Time) {
    return std::chrono::duration<double>(Time).count();
  };
  Metrics.set("hedge_base_seconds", Seconds(Hedges.baseWork()));
  Metrics.set("hedge_extra_seconds", Seconds(Hedges.extraWork()));
}

awaitable<std::optional<mesh_answer>>
entry_router::awaitAnswer(entry_call &Entry, one_shot<mesh_answer> Pending,
                          instant Now) {
  std::optional<microseconds> Delay;
  if (isHedgeable(Entry) && Entry.Attempts == 1)
    Delay = Hedges.delayOf(Entry.Call.Route);
  if (!Delay || Now + *Delay >= Entry.Call.Deadline)
    co_return co_await Pending.wait(Entry.Call.Deadline - Now);
  std::optional<mesh_answer> Early = co_await Pending.wait(*Delay);
  if (Early)
    co_return Early;
  instant DelayEnded = currentTime();
  if (!takeHedge(Entry, DelayEnded))
    co_return co_await Pending.wait(Entry.Call.Deadline - DelayEnded);
  Metrics.count("calls_hedged");
  mesh_answer Hedged =
      emptyAnswer(attempt_outcome::lost, "a second copy of the call is sent");
  Hedged.Hedged = true;
  co_return Hedged;
}

void entry_router::recordLatency(const entry_call &Entry, instant Now) {
  if (isHedgeable(Entry))
    Hedges.recordLatency(Entry.Call.Route, Now - Entry.ArrivedAt);
}

} // namespace chivebeam
