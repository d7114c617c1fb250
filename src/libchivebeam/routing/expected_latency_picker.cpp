#include "routing/expected_latency_picker.h"

#include <algorithm>
#include <cmath>

namespace chivebeam {

namespace {

/// Assumed duration of a call on a route without samples.
constexpr double DefaultCallMicros = 50'000;
/// Weights of the newest sample in the slowness of a server, and in the usual
/// duration of a route over all servers.
constexpr double SlownessWeight = 0.1;
constexpr double UsualWeight = 0.02;
constexpr double MaxSlowness = 20;
/// Bounds the memory for routes, which come and go; at this number, all samples
/// are dropped.
constexpr std::size_t MaxRoutes = 4'096;
/// Half-life of the weight of a load report.
constexpr double LoadHalfLifeMicros = 300'000;
/// Load reports older than this are ignored.
constexpr milliseconds LoadLifetime{1'500};
/// While its load report is younger than this, a home node without capacity for
/// a call is not asked to run it.
constexpr milliseconds FreshLoadTime{100};
/// Bounds of the time for which a home node that refused a call is not asked to
/// run one that is no more urgent.
constexpr microseconds MinRetryAfter = FreshLoadTime;
constexpr microseconds MaxRetryAfter = milliseconds(300);
/// A backend server takes about twice as long during its cold start.
constexpr double ColdStartFactor = 2.0;
/// Extra cost of a fully busy server, as a fraction of the duration of the
/// call, so that calls spread before a queue forms.
constexpr double BusyPenalty = 0.25;
/// Round-trip time to another failure domain.
constexpr double RemoteRoundTripMicros = 4'000;
/// A call stays in its failure domain while its mean expected duration is below
/// this fraction of the time left until its goal.
constexpr double MaxGoalFraction = 0.9;
/// Nested calls wait only for each other, and rarely for more than this many.
constexpr double MaxQueuedNestedCalls = 2;
/// Extra cost factor of a server that failed every recent call.
constexpr double FailureFactor = 12.0;
/// Extra cost of a server whose home node could not be reached or runs no
/// calls.
constexpr double UnusableMicros = 2'000'000;
constexpr milliseconds AvoidTime{400};
/// Groups up to this size are compared completely; of larger groups,
/// SamplesPerSide random servers each of the local and the remote side.
constexpr std::size_t MaxFullComparison = 16;
constexpr std::size_t SamplesPerSide = 4;

} // namespace

expected_latency_picker::server_state &
expected_latency_picker::stateOf(const endpoint &Endpoint) {
  server_state &Server = Servers[Endpoint.Node];
  if (Server.Worker != Endpoint.Worker) {
    // The node has a different backend server now: start with new statistics.
    unsigned Open = Server.Open;
    Server = server_state();
    Server.Open = Open;
    Server.Worker = Endpoint.Worker;
  }
  return Server;
}

double expected_latency_picker::usualMicros(const route_name &Route) const {
  auto Usual = UsualMicros.find(Route);
  return Usual == UsualMicros.end() ? DefaultCallMicros : Usual->second;
}

double expected_latency_picker::expectedMicros(const call_needs &Needs,
                                               const endpoint &Endpoint,
                                               const server_state &Server,
                                               instant Now) const {
  double Micros = usualMicros(Needs.Route) * Server.Slowness;
  if (Now < Endpoint.ReadySince)
    Micros *= ColdStartFactor;
  double MeanMicros = Micros;
  double Limit = std::max(Endpoint.Slots, 1U);
  double OtherCalls = 0;
  if (Now < Server.ReportedAt + LoadLifetime) {
    const home_load &Load = Server.Load;
    if (Load.ServiceTime.count() > 0)
      MeanMicros = static_cast<double>(Load.ServiceTime.count());
    if (Load.Limit > 0)
      Limit = Load.Limit;
    double Age = static_cast<double>((Now - Server.ReportedAt).count());
    double Reported = Load.Running + Load.Waiting;
    OtherCalls = std::max(0.0, Reported - Server.OpenAtReport) *
                 std::exp2(-Age / LoadHalfLifeMicros);
  }
  double Present = OtherCalls + Server.Open;
  double Queued = std::max(0.0, Present + 1 - Limit);
  if (Needs.Nested)
    Queued = std::min(Queued, MaxQueuedNestedCalls);
  double Busy = std::min(1.0, Present / Limit) * BusyPenalty;
  return Micros * (1 + Busy) +
         std::max(MeanMicros * Queued / Limit, rateWaitMicros(Server, Now));
}

double expected_latency_picker::rateWaitMicros(const server_state &Server,
                                               instant Now) {
  const home_load &Load = Server.Load;
  if (Load.StartInterval.count() == 0 ||
      Now >= Server.ReportedAt + LoadLifetime)
    return 0;
  microseconds Wait = Load.StartWait +
                      Load.StartInterval * Server.StartedSinceReport -
                      (Now - Server.ReportedAt);
  return std::max(0.0, static_cast<double>(Wait.count()));
}

double expected_latency_picker::costOf(double Micros, const endpoint &Endpoint,
                                       const server_state &Server,
                                       instant Now) const {
  double Cost = Micros;
  if (Endpoint.Domain != Domain)
    Cost += RemoteRoundTripMicros;
  Cost *= 1 + Server.Failures.value(Now) * FailureFactor;
  bool NoLimit = Server.Load.Limit == 0 && Now < Server.ReportedAt + AvoidTime;
  if (Now < Server.AvoidUntil || NoLimit)
    Cost += UnusableMicros;
  return Cost;
}

bool expected_latency_picker::hasRefusedSimilar(const server_state &Server,
                                                const call_needs &Needs,
                                                instant Now) {
  const refusal_record &Known =
      Needs.Bytes > LargeBodyBytes ? Server.LargeBodies : Server.SmallBodies;
  return !Needs.Nested && Now < Known.Until && Needs.Urgency >= Known.Urgency;
}

microseconds expected_latency_picker::retryAfterOf(const endpoint_group &Group,
                                                   const call_needs &Needs,
                                                   instant Now) const {
  instant Earliest = instant::max();
  for (const auto *Side : {&Group.Local, &Group.Remote})
    for (const endpoint &Endpoint : *Side) {
      auto Found = Servers.find(Endpoint.Node);
      if (Found == Servers.end() ||
          !hasRefusedSimilar(Found->second, Needs, Now))
        continue;
      const server_state &Server = Found->second;
      Earliest = std::min(Earliest, Needs.Bytes > LargeBodyBytes
                                        ? Server.LargeBodies.Until
                                        : Server.SmallBodies.Until);
    }
  return Earliest == instant::max() ? microseconds(0) : Earliest - Now;
}

bool expected_latency_picker::mayAccept(const server_state &Server,
                                        double Micros, const call_needs &Needs,
                                        instant Now) const {
  if (hasRefusedSimilar(Server, Needs, Now))
    return false;
  if (Now >= Server.JudgedUntil)
    return true;
  if (Micros <= static_cast<double>(Needs.GoalLeft.count()))
    return true;
  if (Needs.Nested)
    return Server.Load.Limit > 0;
  return Micros <= static_cast<double>(Needs.TimeLeft.count()) &&
         Server.Load.Waiting < Server.Load.Limit * MaxLateCallsPerSlot;
}

expected_latency_picker::candidate
expected_latency_picker::findCheapest(const std::vector<endpoint> &Endpoints,
                                      const std::set<node_id> &Excluded,
                                      const call_needs &Needs, instant Now) {
  candidate Best;
  std::size_t Count = Endpoints.size();
  if (Count == 0)
    return Best;
  std::size_t SampleCount = Count <= MaxFullComparison ? Count : SamplesPerSide;
  std::size_t Start = Random.below(Count);
  for (std::size_t Step = 0, Sampled = 0; Step < Count && Sampled < SampleCount;
       ++Step) {
    const endpoint &Endpoint = Endpoints[(Start + Step) % Count];
    if (Excluded.contains(Endpoint.Node))
      continue;
    ++Sampled;
    const server_state &Server = stateOf(Endpoint);
    double Micros = expectedMicros(Needs, Endpoint, Server, Now);
    if (SampleCount < Count)
      Start = Random.below(Count);
    if (!mayAccept(Server, Micros, Needs, Now))
      continue;
    double Cost = costOf(Micros, Endpoint, Server, Now);
    if (!Best.Endpoint || Cost < Best.Cost)
      Best = {&Endpoint, Cost};
  }
  return Best;
}

const endpoint *expected_latency_picker::pick(const service_name &,
                                              const endpoint_group &Group,
                                              const std::set<node_id> &Excluded,
                                              instant Now) {
  return pickFor(Group, Excluded, call_needs(), Now);
}

const endpoint *
expected_latency_picker::pickFor(const endpoint_group &Group,
                                 const std::set<node_id> &Excluded,
                                 const call_needs &Needs, instant Now) {
  candidate LocalBest = findCheapest(Group.Local, Excluded, Needs, Now);
  microseconds LocalTimeLimit =
      Needs.Bytes > LargeBodyBytes ? Needs.TimeLeft : Needs.GoalLeft;
  if (LocalBest.Endpoint &&
      LocalBest.Cost <=
          static_cast<double>(LocalTimeLimit.count()) * MaxGoalFraction)
    return LocalBest.Endpoint;
  candidate RemoteBest = findCheapest(Group.Remote, Excluded, Needs, Now);
  if (!RemoteBest.Endpoint ||
      (LocalBest.Endpoint && LocalBest.Cost <= RemoteBest.Cost))
    return LocalBest.Endpoint;
  return RemoteBest.Endpoint;
}

void expected_latency_picker::callStarted(const endpoint &Endpoint, instant) {
  server_state &Server = stateOf(Endpoint);
  ++Server.Open;
  ++Server.StartedSinceReport;
}

void expected_latency_picker::callEnded(const service_name &,
                                        const endpoint &Endpoint,
                                        const call_observation &Observation,
                                        instant Now) {
  server_state &Server = stateOf(Endpoint);
  Server.Open -= Server.Open > 0 ? 1 : 0;
  if (Observation.Load) {
    Server.Load = *Observation.Load;
    Server.OpenAtReport = Server.Open;
    Server.StartedSinceReport = 0;
    Server.ReportedAt = Now;
    // A call that may wait is decided by the home node, which knows its queue.
    Server.JudgedUntil = Observation.NoFreeSlot ? Now : Now + FreshLoadTime;
  }
  if (Observation.RetryAfter.count() > 0) {
    refusal_record &Known =
        Observation.LargeBody ? Server.LargeBodies : Server.SmallBodies;
    Known.Urgency = Observation.Urgency;
    Known.Until =
        Now + std::clamp(Observation.RetryAfter, MinRetryAfter, MaxRetryAfter);
  }
  if (Observation.Verdict == call_verdict::unreachable)
    Server.AvoidUntil = Now + AvoidTime;
  if (Observation.Verdict == call_verdict::served ||
      Observation.Verdict == call_verdict::failed)
    Server.Failures.record(Observation.Verdict == call_verdict::failed, Now);
}

microseconds expected_latency_picker::usualTime(const route_name &Route,
                                                const endpoint &Endpoint,
                                                instant Now) const {
  auto Usual = UsualMicros.find(Route);
  if (Usual == UsualMicros.end())
    return microseconds(0);
  double Factor = Now < Endpoint.ReadySince ? ColdStartFactor : 1;
  return microseconds(static_cast<std::int64_t>(Usual->second * Factor));
}

void expected_latency_picker::recordDuration(const route_name &Route,
                                             const endpoint &Endpoint,
                                             microseconds Duration) {
  auto Sample = static_cast<double>(Duration.count());
  if (UsualMicros.size() >= MaxRoutes && !UsualMicros.contains(Route))
    UsualMicros.clear();
  double &Usual = UsualMicros[Route];
  server_state &Server = stateOf(Endpoint);
  if (Usual > 0) {
    double Ratio = std::min(Sample / Usual, MaxSlowness);
    Server.Slowness += (Ratio - Server.Slowness) * SlownessWeight;
  }
  Usual = Usual == 0 ? Sample : Usual + (Sample - Usual) * UsualWeight;
}

void expected_latency_picker::removeAbsent(const fleet_view &View) {
  std::set<node_id> Present;
  for (const auto &[Service, Versions] : View.Endpoints)
    for (const auto &[Version, Group] : Versions)
      for (const auto *Side : {&Group.Local, &Group.Remote})
        for (const endpoint &Endpoint : *Side)
          Present.insert(Endpoint.Node);
  std::erase_if(Servers, [&](const auto &Item) {
    return Item.second.Open == 0 && !Present.contains(Item.first);
  });
}

const home_load *expected_latency_picker::recentLoad(const endpoint &Endpoint,
                                                     instant Now) const {
  auto Found = Servers.find(Endpoint.Node);
  if (Found == Servers.end() || Found->second.Worker != Endpoint.Worker ||
      Now >= Found->second.ReportedAt + LoadLifetime)
    return nullptr;
  return &Found->second.Load;
}

overload_view expected_latency_picker::overload(const endpoint_group &Group,
                                                instant Now) const {
  std::map<unsigned, unsigned> Own;
  std::map<unsigned, unsigned> Downstream;
  unsigned Known = 0;
  unsigned RetryBudgetSum = 0;
  for (const auto *Side : {&Group.Local, &Group.Remote})
    for (const endpoint &Endpoint : *Side) {
      const home_load *Load = recentLoad(Endpoint, Now);
      if (!Load)
        continue;
      ++Known;
      RetryBudgetSum += Load->DownstreamRetryBudgetPermille;
      for (const refusal_ratio &Ratio : Load->Refused)
        Own[Ratio.Urgency] += Ratio.Permille;
      for (const refusal_ratio &Ratio : Load->Downstream)
        Downstream[Ratio.Urgency] += Ratio.Permille;
    }
  overload_view View;
  View.DownstreamRetryBudgetPermille = Known > 0 ? RetryBudgetSum / Known : 0;
  for (const auto &[Urgency, Sum] : Own)
    View.Own.push_back({Urgency, Sum / Known});
  for (const auto &[Urgency, Sum] : Downstream)
    View.Downstream.push_back({Urgency, Sum / Known});
  return View;
}

} // namespace chivebeam
