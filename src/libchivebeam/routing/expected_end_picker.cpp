#include "routing/expected_end_picker.h"

#include <algorithm>
#include <cmath>

namespace chivebeam {

namespace {

/// Time of a call before any was seen.
constexpr double DefaultCallMicros = 50'000;
/// Weight of the newest call in a server's slowness, and in the usual time of a
/// route over all servers.
constexpr double NewestWeight = 0.1;
constexpr double UsualWeight = 0.02;
constexpr double MaxSlowness = 20;
/// Routes come and go; beyond so many, all are learned anew.
constexpr std::size_t MaxRoutes = 4'096;
/// What a home node said of its load counts for half after this time.
constexpr double LoadHalfLifeMicros = 300'000;
/// A load report older than this says nothing.
constexpr milliseconds LoadLifetime{1'500};
/// Within this time a home node that has no room is taken at its word.
constexpr milliseconds FreshLoad{100};
/// For so long at least and at most, a home node that refused a call is not
/// asked to take one that is no more urgent.
constexpr microseconds MinNoRoom = FreshLoad;
constexpr microseconds MaxNoRoom = milliseconds(300);
/// A backend server in its cold start takes about twice as long.
constexpr double ColdFactor = 2.0;
/// Cost of a busy server beside an idle one, as a part of a call's time: calls
/// spread before a queue forms.
constexpr double BusyPart = 0.25;
/// The round trip to another failure domain.
constexpr double RemoteMicros = 4'000;
/// A call stays in its failure domain while the mean of its expected time is
/// below this part of the time until its goal.
constexpr double GoalPart = 0.9;
/// Nested calls wait for each other only; more than so many seldom do.
constexpr double MaxQueuedNested = 2;
/// A server that failed every recent call costs so many times as much.
constexpr double FailureFactor = 12.0;
/// Cost of a server whose home node could not be reached, or runs nothing.
constexpr double UnusableMicros = 2'000'000;
constexpr milliseconds AvoidTime{400};
/// Groups up to this size are compared whole; of larger ones, so many random
/// ones a side.
constexpr std::size_t CompareAllUpTo = 16;
constexpr std::size_t DrawsPerSide = 4;

} // namespace

expected_end_picker::server &
expected_end_picker::serverOf(const endpoint &Endpoint) {
  server &Server = Servers[Endpoint.Node];
  if (Server.Worker != Endpoint.Worker) {
    // Another backend server beside the same node: its past does not count.
    unsigned Open = Server.Open;
    Server = server();
    Server.Open = Open;
    Server.Worker = Endpoint.Worker;
  }
  return Server;
}

double expected_end_picker::usualMicros(const route_name &Route) const {
  auto Usual = UsualMicros.find(Route);
  return Usual == UsualMicros.end() ? DefaultCallMicros : Usual->second;
}

double expected_end_picker::timeOf(const call_needs &Needs,
                                   const endpoint &Endpoint,
                                   const server &Server, instant Now) const {
  double Micros = usualMicros(Needs.Route) * Server.Slowness;
  if (Now < Endpoint.ReadySince)
    Micros *= ColdFactor;
  double MeanMicros = Micros;
  double Limit = std::max(Endpoint.Slots, 1U);
  double Others = 0;
  if (Now < Server.ReportedAt + LoadLifetime) {
    const home_load &Load = Server.Load;
    if (Load.ServiceTime.count() > 0)
      MeanMicros = static_cast<double>(Load.ServiceTime.count());
    if (Load.Limit > 0)
      Limit = Load.Limit;
    double Age = static_cast<double>((Now - Server.ReportedAt).count());
    double Told = Load.Running + Load.Waiting;
    Others = std::max(0.0, Told - Server.OpenAtReport) *
             std::exp2(-Age / LoadHalfLifeMicros);
  }
  double Present = Others + Server.Open;
  double Queued = std::max(0.0, Present + 1 - Limit);
  if (Needs.Nested)
    Queued = std::min(Queued, MaxQueuedNested);
  double Busy = std::min(1.0, Present / Limit) * BusyPart;
  return Micros * (1 + Busy) + MeanMicros * Queued / Limit;
}

double expected_end_picker::costOf(double Micros, const endpoint &Endpoint,
                                   const server &Server, instant Now) const {
  double Cost = Micros;
  if (Endpoint.Domain != Domain)
    Cost += RemoteMicros;
  Cost *= 1 + Server.Failures.value(Now) * FailureFactor;
  bool NoLimit = Server.Load.Limit == 0 && Now < Server.ReportedAt + AvoidTime;
  if (Now < Server.AvoidUntil || NoLimit)
    Cost += UnusableMicros;
  return Cost;
}

bool expected_end_picker::isFullFor(const server &Server,
                                    const call_needs &Needs, instant Now) {
  const no_room &Known =
      Needs.Bytes > LargeBodyBytes ? Server.Large : Server.Small;
  return !Needs.Nested && Now < Known.Until && Needs.Urgency >= Known.Urgency;
}

microseconds expected_end_picker::roomAfter(const endpoint_group &Group,
                                            const call_needs &Needs,
                                            instant Now) const {
  instant Earliest = instant::max();
  for (const auto *Side : {&Group.Local, &Group.Remote})
    for (const endpoint &Endpoint : *Side) {
      auto Found = Servers.find(Endpoint.Node);
      if (Found == Servers.end() || !isFullFor(Found->second, Needs, Now))
        continue;
      const server &Server = Found->second;
      Earliest =
          std::min(Earliest, Needs.Bytes > LargeBodyBytes ? Server.Large.Until
                                                          : Server.Small.Until);
    }
  return Earliest == instant::max() ? microseconds(0) : Earliest - Now;
}

bool expected_end_picker::mayTake(const server &Server, double Micros,
                                  const call_needs &Needs, instant Now) const {
  if (isFullFor(Server, Needs, Now))
    return false;
  if (Now >= Server.ReportedAt + FreshLoad)
    return true;
  if (Micros <= static_cast<double>(Needs.GoalLeft.count()))
    return true;
  if (Needs.Nested)
    return Server.Load.Limit > 0;
  return Micros <= static_cast<double>(Needs.TimeLeft.count()) &&
         Server.Load.Waiting < Server.Load.Limit * LateCallsPerSlot;
}

expected_end_picker::candidate
expected_end_picker::cheapest(const std::vector<endpoint> &Endpoints,
                              const std::set<node_id> &Excluded,
                              const call_needs &Needs, instant Now) {
  candidate Best;
  std::size_t Count = Endpoints.size();
  if (Count == 0)
    return Best;
  std::size_t Draws = Count <= CompareAllUpTo ? Count : DrawsPerSide;
  std::size_t Start = Random.below(Count);
  for (std::size_t Step = 0, Drawn = 0; Step < Count && Drawn < Draws; ++Step) {
    const endpoint &Endpoint = Endpoints[(Start + Step) % Count];
    if (Excluded.contains(Endpoint.Node))
      continue;
    ++Drawn;
    const server &Server = serverOf(Endpoint);
    double Micros = timeOf(Needs, Endpoint, Server, Now);
    if (Draws < Count)
      Start = Random.below(Count);
    if (!mayTake(Server, Micros, Needs, Now))
      continue;
    double Cost = costOf(Micros, Endpoint, Server, Now);
    if (!Best.Endpoint || Cost < Best.Cost)
      Best = {&Endpoint, Cost};
  }
  return Best;
}

const endpoint *expected_end_picker::pick(const service_name &,
                                          const endpoint_group &Group,
                                          const std::set<node_id> &Excluded,
                                          instant Now) {
  return pickFor(Group, Excluded, call_needs(), Now);
}

const endpoint *expected_end_picker::pickFor(const endpoint_group &Group,
                                             const std::set<node_id> &Excluded,
                                             const call_needs &Needs,
                                             instant Now) {
  candidate Near = cheapest(Group.Local, Excluded, Needs, Now);
  microseconds Left =
      Needs.Bytes > LargeBodyBytes ? Needs.TimeLeft : Needs.GoalLeft;
  if (Near.Endpoint &&
      Near.Cost <= static_cast<double>(Left.count()) * GoalPart)
    return Near.Endpoint;
  candidate Far = cheapest(Group.Remote, Excluded, Needs, Now);
  if (!Far.Endpoint || (Near.Endpoint && Near.Cost <= Far.Cost))
    return Near.Endpoint;
  return Far.Endpoint;
}

void expected_end_picker::callStarted(const endpoint &Endpoint, instant) {
  ++serverOf(Endpoint).Open;
}

void expected_end_picker::callEnded(const service_name &,
                                    const endpoint &Endpoint,
                                    const call_observation &Seen, instant Now) {
  server &Server = serverOf(Endpoint);
  Server.Open -= Server.Open > 0 ? 1 : 0;
  if (Seen.Load) {
    Server.Load = *Seen.Load;
    Server.OpenAtReport = Server.Open;
    Server.ReportedAt = Now;
  }
  if (Seen.NoRoom.count() > 0) {
    no_room &Known = Seen.LargeBody ? Server.Large : Server.Small;
    Known.Urgency = Seen.Urgency;
    Known.Until = Now + std::clamp(Seen.NoRoom, MinNoRoom, MaxNoRoom);
  }
  if (Seen.Verdict == call_verdict::unreachable)
    Server.AvoidUntil = Now + AvoidTime;
  if (Seen.Verdict == call_verdict::served ||
      Seen.Verdict == call_verdict::failed)
    Server.Failures.record(Seen.Verdict == call_verdict::failed, Now);
}

microseconds expected_end_picker::usualTime(const route_name &Route,
                                            const endpoint &Endpoint,
                                            instant Now) const {
  auto Usual = UsualMicros.find(Route);
  if (Usual == UsualMicros.end())
    return microseconds(0);
  double Factor = Now < Endpoint.ReadySince ? ColdFactor : 1;
  return microseconds(static_cast<std::int64_t>(Usual->second * Factor));
}

void expected_end_picker::ran(const route_name &Route, const endpoint &Endpoint,
                              microseconds Duration) {
  auto Sample = static_cast<double>(Duration.count());
  if (UsualMicros.size() >= MaxRoutes && !UsualMicros.contains(Route))
    UsualMicros.clear();
  double &Usual = UsualMicros[Route];
  server &Server = serverOf(Endpoint);
  if (Usual > 0) {
    double Ratio = std::min(Sample / Usual, MaxSlowness);
    Server.Slowness += (Ratio - Server.Slowness) * NewestWeight;
  }
  Usual = Usual == 0 ? Sample : Usual + (Sample - Usual) * UsualWeight;
}

void expected_end_picker::forgetAbsent(const fleet_view &View) {
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

const home_load *expected_end_picker::recentLoad(const endpoint &Endpoint,
                                                 instant Now) const {
  auto Found = Servers.find(Endpoint.Node);
  if (Found == Servers.end() || Found->second.Worker != Endpoint.Worker ||
      Now >= Found->second.ReportedAt + LoadLifetime)
    return nullptr;
  return &Found->second.Load;
}

overload_view expected_end_picker::overload(const endpoint_group &Group,
                                            instant Now) const {
  std::map<unsigned, unsigned> Own;
  std::map<unsigned, unsigned> Below;
  unsigned Known = 0;
  unsigned RepeatsBelow = 0;
  for (const auto *Side : {&Group.Local, &Group.Remote})
    for (const endpoint &Endpoint : *Side) {
      const home_load *Load = recentLoad(Endpoint, Now);
      if (!Load)
        continue;
      ++Known;
      RepeatsBelow += Load->RepeatsBelowPermille;
      for (const refused_share &Share : Load->Refused)
        Own[Share.Urgency] += Share.Permille;
      for (const refused_share &Share : Load->Downstream)
        Below[Share.Urgency] += Share.Permille;
    }
  overload_view View;
  View.RepeatsBelowPermille = Known > 0 ? RepeatsBelow / Known : 0;
  for (const auto &[Urgency, Sum] : Own)
    View.Own.push_back({Urgency, Sum / Known});
  for (const auto &[Urgency, Sum] : Below)
    View.Downstream.push_back({Urgency, Sum / Known});
  return View;
}

} // namespace chivebeam
