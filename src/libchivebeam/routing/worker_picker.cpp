#include "routing/worker_picker.h"

#include <algorithm>
#include <cmath>

namespace chivebeam {

namespace {

/// Cost of leaving the local failure domain while connect times are unknown,
/// and the bounds of this cost; 1 is a fully loaded server.
constexpr double DefaultDistanceCost = 0.25;
constexpr double MinDistanceCost = 0.1;
constexpr double MaxDistanceCost = 2.0;
/// Extra cost of an ejected server, used when too many are ejected.
constexpr double EjectedCost = 4.0;
constexpr milliseconds ReportLifetime{1'000};
constexpr milliseconds SlowStartTime{10'000};
constexpr double SlowStartFloor = 0.1;
constexpr double MaxSlowness = 10.0;
constexpr double LatencyWeight = 1.0 / 8;
constexpr double TypicalWeight = 1.0 / 64;
constexpr double ConnectWeight = 1.0 / 4;
/// Half-life of the weight of the slowness of a server.
constexpr double SlownessHalfLifeSeconds = 5.0;
constexpr int SamplesPerSide = 2;

double microsOf(microseconds Time) { return static_cast<double>(Time.count()); }

void updateAverage(double &Mean, double Sample, double Weight) {
  Mean = Mean == 0 ? Sample : Mean + (Sample - Mean) * Weight;
}

} // namespace

worker_picker::server_state &worker_picker::stateOf(const endpoint &Endpoint,
                                                    instant Now) {
  server_state &State = States[Endpoint.Node];
  if (State.FirstSeen == instant() || State.ReadySince != Endpoint.ReadySince) {
    // The backend server was restarted: start with new statistics.
    unsigned Open = State.Open;
    OutOfUse -= State.Health.outOfUse() ? 1 : 0;
    State = server_state();
    State.Open = Open;
    State.FirstSeen = Now;
    State.ReadySince = Endpoint.ReadySince;
  }
  return State;
}

double worker_picker::distanceCost(const failure_domain &To,
                                   double TypicalMicros) const {
  if (To == Domain)
    return 0.0;
  auto RemoteTime = ConnectTimes.find(To);
  if (RemoteTime == ConnectTimes.end() || TypicalMicros == 0)
    return DefaultDistanceCost;
  auto LocalTime = ConnectTimes.find(Domain);
  double Extra = RemoteTime->second -
                 (LocalTime == ConnectTimes.end() ? 0.0 : LocalTime->second);
  return std::clamp(Extra / TypicalMicros, MinDistanceCost, MaxDistanceCost);
}

double worker_picker::costOf(const endpoint &Endpoint,
                             const server_state &State, double TypicalMicros,
                             instant Now) const {
  double Slots = std::max(1U, Endpoint.Slots);
  double Used = State.Open;
  if (State.ReportedAt + ReportLifetime > Now)
    Used = std::max(Used,
                    Slots - State.FreeSlots + State.Open - State.OpenAtReport);
  double Cost = (Used + 1) / Slots;
  if (TypicalMicros > 0 && State.Latency > TypicalMicros) {
    double Age = std::chrono::duration<double>(Now - State.LatencyAt).count();
    double Decay = std::exp2(-Age / SlownessHalfLifeSeconds);
    Cost *=
        1 + (std::min(MaxSlowness, State.Latency / TypicalMicros) - 1) * Decay;
  }
  // A start time in the future means that the clock of the other node is ahead.
  instant Since = std::min(Now, Endpoint.ReadySince);
  if (Endpoint.ReadySince > Now)
    Since = State.FirstSeen;
  if (Now < Since + SlowStartTime) {
    double Share = microsOf(Now - Since) / microsOf(SlowStartTime);
    Cost /= std::max(SlowStartFloor, Share);
  }
  return Cost + distanceCost(Endpoint.Domain, TypicalMicros);
}

bool worker_picker::ejectionAllowed(const endpoint_group &Group, instant Now) {
  if (OutOfUse == 0)
    return true;
  std::size_t Ejected = 0;
  for (const auto *Side : {&Group.Local, &Group.Remote})
    for (const endpoint &Endpoint : *Side)
      if (auto Found = States.find(Endpoint.Node);
          Found != States.end() && Found->second.Health.ejected(Now))
        ++Ejected;
  return Ejected * 2 <= Group.Local.size() + Group.Remote.size();
}

void worker_picker::considerCandidates(const std::vector<endpoint> &Endpoints,
                                       double TypicalMicros,
                                       const std::set<node_id> &Excluded,
                                       bool SkipEjected, instant Now,
                                       candidate &Best) {
  if (Endpoints.empty())
    return;
  std::size_t Start = Random.below(Endpoints.size());
  int Sampled = 0;
  for (std::size_t Step = 0;
       Step < Endpoints.size() && Sampled < SamplesPerSide; ++Step) {
    const endpoint &Endpoint = Endpoints[(Start + Step) % Endpoints.size()];
    if (Excluded.contains(Endpoint.Node))
      continue;
    server_state &State = stateOf(Endpoint, Now);
    bool Ejected = State.Health.ejected(Now);
    if (Ejected && SkipEjected)
      continue;
    ++Sampled;
    double Cost = costOf(Endpoint, State, TypicalMicros, Now);
    Cost += Ejected ? EjectedCost : 0.0;
    if (State.Health.trialDue(Now))
      Cost = 0.0; // do not delay the trial because of past slowness
    if (!Best.Endpoint || Cost < Best.Cost)
      Best = {&Endpoint, Cost};
    // The second candidate is drawn at random too, so that it is not always the
    // neighbour of the first.
    if (Sampled == 1 && Step + 2 < Endpoints.size())
      Start += Random.below(Endpoints.size() - Step - 1);
  }
}

const endpoint *worker_picker::pick(const service_name &Service,
                                    const endpoint_group &Group,
                                    const std::set<node_id> &Excluded,
                                    instant Now) {
  auto Found = TypicalLatency.find(Service);
  double TypicalMicros = Found == TypicalLatency.end() ? 0.0 : Found->second;
  bool SkipEjected = ejectionAllowed(Group, Now);
  candidate Best;
  considerCandidates(Group.Local, TypicalMicros, Excluded, SkipEjected, Now,
                     Best);
  considerCandidates(Group.Remote, TypicalMicros, Excluded, SkipEjected, Now,
                     Best);
  if (!Best.Endpoint && SkipEjected) {
    considerCandidates(Group.Local, TypicalMicros, Excluded, false, Now, Best);
    considerCandidates(Group.Remote, TypicalMicros, Excluded, false, Now, Best);
  }
  return Best.Endpoint;
}

void worker_picker::callStarted(const endpoint &Endpoint, instant Now) {
  server_state &State = stateOf(Endpoint, Now);
  ++State.Open;
  if (State.Health.trialDue(Now))
    State.Health.trialStarted();
}

void worker_picker::callEnded(const service_name &Service,
                              const endpoint &Endpoint,
                              const call_observation &Observation,
                              instant Now) {
  server_state &State = stateOf(Endpoint, Now);
  State.Open -= State.Open > 0 ? 1 : 0;
  if (Observation.FreeSlots) {
    State.FreeSlots =
        std::min(*Observation.FreeSlots, static_cast<int>(Endpoint.Slots));
    State.OpenAtReport = State.Open;
    State.ReportedAt = Now;
  }
  recordVerdict(State.Health, Observation.Verdict, Now);
  if (Observation.Verdict != call_verdict::served)
    return;
  updateAverage(State.Latency, microsOf(Observation.Latency), LatencyWeight);
  State.LatencyAt = Now;
  updateAverage(TypicalLatency[Service], microsOf(Observation.Latency),
                TypicalWeight);
}

void worker_picker::recordVerdict(worker_health &Health, call_verdict Verdict,
                                  instant Now) {
  OutOfUse -= Health.outOfUse() ? 1 : 0;
  switch (Verdict) {
  case call_verdict::served:
    Health.succeeded();
    break;
  case call_verdict::failed:
    Health.failed(Now);
    break;
  case call_verdict::unreachable:
    Health.unreachable(Now);
    break;
  case call_verdict::refused:
  case call_verdict::cancelled:
    Health.trialInconclusive();
    break;
  }
  OutOfUse += Health.outOfUse() ? 1 : 0;
}

void worker_picker::connected(const failure_domain &To, microseconds Duration) {
  updateAverage(ConnectTimes[To], microsOf(Duration), ConnectWeight);
}

void worker_picker::removeAbsent(const fleet_view &View) {
  std::set<node_id> Present;
  for (const auto &[Service, Versions] : View.Endpoints)
    for (const auto &[Version, Group] : Versions)
      for (const auto *Side : {&Group.Local, &Group.Remote})
        for (const endpoint &Endpoint : *Side)
          Present.insert(Endpoint.Node);
  std::erase_if(States, [&](const auto &Item) {
    bool Removed = Item.second.Open == 0 && !Present.contains(Item.first);
    OutOfUse -= Removed && Item.second.Health.outOfUse() ? 1 : 0;
    return Removed;
  });
  std::erase_if(TypicalLatency, [&](const auto &Item) {
    return !View.Endpoints.contains(Item.first);
  });
}

} // namespace chivebeam
