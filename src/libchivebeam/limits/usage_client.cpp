#include "limits/usage_client.h"

#include <algorithm>

#include "limits/usage_timing.h"

namespace chivebeam {

namespace {

/// Retry time of a call that no owner could decide about.
constexpr milliseconds UnreachedRetryAfter{500};
/// A connection that is not open may be open after this time.
constexpr milliseconds NotSentPause{50};
/// Calls wait for a connection for this time, if there is no other owner.
constexpr milliseconds ConnectTime{400};
constexpr seconds NotSentMemory{10};
/// An owner that does not grant is asked again after this time.
constexpr milliseconds NoGrantRetryAfter{500};

} // namespace

void usage_client::setCaps(const usage_caps &Caps) {
  std::erase_if(Allowances, [&](const auto &Item) {
    auto Found = Caps.find(Item.first);
    return Found == Caps.end() || !Found->second.isLimited();
  });
  for (const auto &[Name, Cap] : Caps)
    if (Cap.isLimited())
      Allowances[Name].Allowance.setCap(Cap);
}

usage_decision usage_client::callArrived(const workspace_name &Name,
                                         instant Now) {
  auto Found = Allowances.find(Name);
  if (Found == Allowances.end())
    return {};
  Found->second.Allowance.callArrived(Now);
  return decide(Name, Found->second, Now);
}

usage_decision usage_client::decide(const workspace_name &Name, instant Now) {
  auto Found = Allowances.find(Name);
  return Found == Allowances.end() ? usage_decision()
                                   : decide(Name, Found->second, Now);
}

usage_decision usage_client::decide(const workspace_name &Name,
                                    workspace_state &State, instant Now) {
  using enum usage_decision::kind;
  usage_allowance &Allowance = State.Allowance;
  if (Allowance.take(Now))
    return {admitted, microseconds(0)};
  if (State.Asked)
    return {wait, microseconds(0)};
  std::optional<instant> RetryAt;
  bool MayConnect = false;
  for (const usage_part &Part : Owners.partsOf(Name, Domain)) {
    owner_state &Owner = States[Part.Owner];
    if (Owner.UnreachableUntil > Now) {
      MayConnect = MayConnect || Now < Owner.NotSentSince + ConnectTime;
      continue;
    }
    instant DeniedUntil = Allowance.deniedUntil(Part.Domain);
    if (DeniedUntil <= Now) {
      Owner.Queued[Name] = Part.Domain;
      State.Asked = Part.Owner;
      return {wait, microseconds(0)};
    }
    RetryAt = std::min(RetryAt.value_or(DeniedUntil), DeniedUntil);
  }
  if (RetryAt)
    return {refused, *RetryAt - Now};
  if (MayConnect)
    return {wait, microseconds(0)};
  if (Allowance.takeUnreached(Owners.nodes(), Now))
    return {admitted, microseconds(0)};
  return {refused, UnreachedRetryAfter};
}

void usage_client::setWaiting(const workspace_name &Name, unsigned Calls) {
  if (auto Found = Allowances.find(Name); Found != Allowances.end())
    Found->second.Waiting = Calls;
}

bool usage_client::isUrgent(const owner_state &Owner) const {
  return std::any_of(
      Owner.Queued.begin(), Owner.Queued.end(), [&](const auto &Item) {
        auto Found = Allowances.find(Item.first);
        return Found != Allowances.end() && Found->second.Waiting > 0;
      });
}

std::vector<usage_request> usage_client::takeQueued(bool OnlyUrgent,
                                                    instant Now) {
  std::vector<usage_request> Requests;
  for (auto &[Node, Owner] : States) {
    if (Owner.Queued.empty() || Owner.Number != 0 ||
        (OnlyUrgent && !isUrgent(Owner)))
      continue;
    usage_request Request{Node, {++NextNumber, {}, {}}};
    for (const auto &[Name, PartDomain] : Owner.Queued) {
      auto Found = Allowances.find(Name);
      if (Found == Allowances.end())
        continue;
      workspace_state &State = Found->second;
      unsigned Waiting = State.Asked == Node ? State.Waiting : 0;
      Request.Message.Asks.push_back(
          State.Allowance.ask(Name, PartDomain, Waiting, Now));
    }
    Owner.Open = std::exchange(Owner.Queued, {});
    Owner.Number = NextNumber;
    Owner.AskedAt = Now;
    Requests.push_back(std::move(Request));
  }
  return Requests;
}

std::vector<usage_request> usage_client::urgentRequests(instant Now) {
  return takeQueued(true, Now);
}

void usage_client::queueAhead(const workspace_name &Name,
                              workspace_state &State, instant Now) {
  bool IsQueued = State.Asked.has_value();
  for (const usage_part &Part : Owners.partsOf(Name, Domain)) {
    owner_state &Owner = States[Part.Owner];
    if (Owner.UnreachableUntil > Now)
      continue;
    bool MayHaveTokens = State.Allowance.deniedUntil(Part.Domain) <= Now;
    bool AsksAhead = !IsQueued && MayHaveTokens && State.Allowance.runsLow(Now);
    if (AsksAhead || State.Allowance.hasReturns(Part.Domain))
      Owner.Queued.try_emplace(Name, Part.Domain);
    IsQueued = IsQueued || AsksAhead;
  }
}

std::vector<usage_request> usage_client::dueRequests(instant Now) {
  for (auto &[Name, State] : Allowances)
    if (State.Allowance.hasReturns() || State.Allowance.runsLow(Now))
      queueAhead(Name, State, Now);
  return takeQueued(false, Now);
}

std::vector<workspace_name> usage_client::close(const node_id &Node,
                                                owner_state &Owner) {
  std::vector<workspace_name> Names;
  Owner.Number = 0;
  for (const auto &[Name, PartDomain] : std::exchange(Owner.Open, {})) {
    Names.push_back(Name);
    auto Found = Allowances.find(Name);
    bool WasAsked = Found != Allowances.end() && Found->second.Asked == Node &&
                    !Owner.Queued.contains(Name);
    if (WasAsked)
      Found->second.Asked.reset();
  }
  return Names;
}

std::vector<workspace_name> usage_client::fail(const node_id &Node,
                                               owner_state &Owner,
                                               instant UnreachableUntil) {
  Owner.UnreachableUntil = UnreachableUntil;
  std::vector<workspace_name> Names = close(Node, Owner);
  for (const auto &[Name, PartDomain] : std::exchange(Owner.Queued, {})) {
    Names.push_back(Name);
    auto Found = Allowances.find(Name);
    if (Found != Allowances.end() && Found->second.Asked == Node)
      Found->second.Asked.reset();
  }
  return Names;
}

std::vector<workspace_name> usage_client::notSent(const node_id &Node,
                                                  instant Now) {
  owner_state &Owner = States[Node];
  if (Owner.NotSentSince == instant())
    Owner.NotSentSince = Now;
  return fail(Node, Owner, Now + NotSentPause);
}

std::vector<workspace_name> usage_client::tick(instant Now) {
  std::vector<workspace_name> Names;
  for (auto &[Name, State] : Allowances)
    State.Allowance.dropLapsed(Now);
  for (auto &[Node, Owner] : States)
    if (Owner.Number != 0 && Now >= Owner.AskedAt + AskTimeout)
      for (workspace_name &Name : fail(Node, Owner, Now + UnreachableTime))
        Names.push_back(std::move(Name));
  std::erase_if(States, [&](const auto &Item) {
    const owner_state &Owner = Item.second;
    return Owner.Number == 0 && Owner.Queued.empty() &&
           Owner.UnreachableUntil + NotSentMemory <= Now;
  });
  return Names;
}

std::vector<workspace_name> usage_client::granted(const node_id &Node,
                                                  const usage_message &Answer,
                                                  instant Now) {
  auto Found = States.find(Node);
  if (Found == States.end() || Answer.Number == 0 ||
      Found->second.Number != Answer.Number)
    return {};
  owner_state &Owner = Found->second;
  std::map<workspace_name, usage_grant> Grants;
  for (const usage_grant &Grant : Answer.Grants)
    Grants.emplace(Grant.Workspace, Grant);
  for (const auto &[Name, PartDomain] : Owner.Open) {
    auto State = Allowances.find(Name);
    if (State == Allowances.end())
      continue;
    // An owner that may not grant now answers without grants.
    auto Grant =
        Grants.try_emplace(Name, usage_grant{Name, 0, NoGrantRetryAfter});
    Owner.NotSentSince = instant();
    State->second.Allowance.granted(PartDomain, Grant.first->second,
                                    Owner.AskedAt, Now);
    if (!Grant.second)
      State->second.Allowance.reached();
  }
  return close(Node, Owner);
}

} // namespace chivebeam
