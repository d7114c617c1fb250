#include "mesh/usage_limiter.h"

#include <algorithm>

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

/// Longest wait of a call for the answer of an owner.
constexpr milliseconds MaxWait{500};
/// Retry time of a call that waited for so long.
constexpr milliseconds UndecidedRetryAfter{500};
constexpr seconds NodesInterval{1};
/// Links to owners stay open with a ping at this interval.
constexpr seconds OwnerPingInterval{5};
constexpr double RefusalLogLinesPerSecond = 1;
constexpr double RefusalLogLinesBurst = 10;

} // namespace

usage_limiter::usage_limiter(asio::io_context &IoContext,
                             const mesh_settings &MeshSettings,
                             mesh_state &MeshState, peer_hub &PeerHub,
                             mesh_metrics &MeshMetrics)
    : Context(IoContext), Settings(MeshSettings), State(MeshState),
      Hub(PeerHub), Metrics(MeshMetrics), Client(Settings.Domain),
      RefusalLogBudget(RefusalLogLinesPerSecond, RefusalLogLinesBurst) {}

awaitable<std::optional<microseconds>>
usage_limiter::admit(workspace_name Workspace) {
  if (!Client.isLimited(Workspace))
    co_return std::nullopt;
  usage_decision Decision = Client.callArrived(Workspace, currentTime());
  if (Decision.Kind == usage_decision::kind::wait) {
    auto Waiter = std::make_shared<waiter>(Context.get_executor());
    auto &Queue = Waiting[Workspace];
    Queue.push_back(Waiter);
    Client.setWaiting(Workspace, static_cast<unsigned>(Queue.size()));
    send(Client.urgentRequests(currentTime()));
    std::optional<usage_decision> Decided = co_await Waiter->wait(MaxWait);
    if (!Decided)
      stopWaiting(Workspace, *Waiter);
    Decision = Decided.value_or(
        usage_decision{usage_decision::kind::refused, UndecidedRetryAfter});
  }
  if (Decision.Kind == usage_decision::kind::admitted)
    co_return std::nullopt;
  recordRefusal(Workspace, Decision.RetryAfter);
  co_return Decision.RetryAfter;
}

void usage_limiter::stopWaiting(const workspace_name &Workspace,
                                const waiter &Waiter) {
  auto Found = Waiting.find(Workspace);
  if (Found == Waiting.end())
    return;
  std::erase_if(Found->second,
                [&](const auto &Item) { return Item.get() == &Waiter; });
  Client.setWaiting(Workspace, static_cast<unsigned>(Found->second.size()));
  if (Found->second.empty())
    Waiting.erase(Found);
}

void usage_limiter::recordRefusal(const workspace_name &Workspace,
                                  microseconds RetryAfter) {
  Metrics.count("usage_cap_refusals", Workspace.str());
  if (!RefusalLogBudget.take(currentTime())) {
    ++OmittedLines;
    return;
  }
  log_event("over_usage_cap")
      .add("workspace", Workspace)
      .add("config", CapsOf)
      .add("retry_after_ms", RetryAfter.count() / 1'000)
      .add("omitted_lines", std::exchange(OmittedLines, 0));
}

void usage_limiter::serve(const std::vector<workspace_name> &Names) {
  instant Now = currentTime();
  for (const workspace_name &Name : Names) {
    auto Found = Waiting.find(Name);
    if (Found == Waiting.end())
      continue;
    auto &Queue = Found->second;
    while (!Queue.empty()) {
      usage_decision Decision = Client.decide(Name, Now);
      if (Decision.Kind == usage_decision::kind::wait)
        break;
      Queue.front()->set(Decision);
      Queue.pop_front();
    }
    Client.setWaiting(Name, static_cast<unsigned>(Queue.size()));
    if (Queue.empty())
      Waiting.erase(Found);
  }
  send(Client.urgentRequests(Now));
}

void usage_limiter::serveAll() {
  std::vector<workspace_name> Names;
  Names.reserve(Waiting.size());
  for (const auto &[Name, Queue] : Waiting)
    Names.push_back(Name);
  if (!Names.empty())
    serve(Names);
}

void usage_limiter::send(std::vector<usage_request> Requests) {
  std::vector<workspace_name> Decidable;
  for (usage_request &Request : Requests) {
    auto AddNames = [&](const std::vector<workspace_name> &Names) {
      Decidable.insert(Decidable.end(), Names.begin(), Names.end());
    };
    instant Now = currentTime();
    if (Request.Owner == Settings.Node) {
      AddNames(Client.granted(Request.Owner,
                              answer(Request.Message, Settings.Node), Now));
      continue;
    }
    peer_frame Frame = Hub.frame(frame_kind::usage_ask);
    Frame.Call = Request.Message.Number;
    Frame.UsageAsks = std::move(Request.Message.Asks);
    if (Hub.sendIfOpen(Request.Owner, Frame))
      Metrics.count("usage_requests_sent");
    else
      AddNames(Client.notSent(Request.Owner, Now));
  }
  if (!Decidable.empty())
    serve(Decidable);
}

bool usage_limiter::mayGrant() const {
  if (State.ownStatus().StoreAge)
    return true;
  std::size_t Others = Client.owners().nodesIn(Settings.Domain);
  return Hub.subscribers() * 2 + 2 >= Others;
}

usage_message usage_limiter::answer(const usage_message &Asks,
                                    const node_id &From) {
  usage_message Answer{Asks.Number, {}, {}};
  if (!mayGrant())
    Owner.drop();
  if (Owner.owned() > 0)
    Answer.Grants = Owner.answer(From, Asks.Asks, currentTime());
  return Answer;
}

void usage_limiter::handle(const usage_message &Message, const node_id &From) {
  if (Message.Asks.empty())
    return serve(Client.granted(From, Message, currentTime()));
  peer_frame Frame = Hub.frame(frame_kind::usage_grant);
  Frame.Call = Message.Number;
  Frame.UsageGrants = answer(Message, From).Grants;
  Hub.sendIfOpen(From, Frame);
}

void usage_limiter::viewChanged() {
  instant Now = currentTime();
  if (State.view() && State.view()->Config->number() != CapsOf)
    applyCaps();
  applyNodes(Now);
  serveAll();
}

void usage_limiter::applyCaps() {
  CapsOf = State.view()->Config->number();
  Caps.clear();
  for (const auto &[Name, Workspace] : State.view()->Config->workspaces())
    if (Workspace.Cap.isLimited())
      Caps.emplace(Name, Workspace.Cap);
  Client.setCaps(Caps);
}

void usage_limiter::applyNodes(instant Now) {
  NodesAppliedAt = Now;
  if (Caps.empty() && Owner.owned() == 0)
    return;
  usage_owner_choice &Owners = Client.owners();
  Owners.setNodes(State.directory().recordsWithGone());
  bool MayGrant = mayGrant();
  Owner.setShares(
      Caps, Owners.parts(),
      [&](const workspace_name &Name) {
        return MayGrant && Owners.owns(Settings.Node, Settings.Domain, Name);
      },
      Now);
  bool PingsAll = Now >= OwnersPingedAt + OwnerPingInterval;
  if (PingsAll)
    OwnersPingedAt = Now;
  for (const node_id &Node : Owners.watchers())
    if (Node != Settings.Node && (PingsAll || !Hub.hasOpenLink(Node)))
      Hub.ping(Node);
}

void usage_limiter::tick(instant Now) {
  if (Caps.empty())
    return;
  if (!mayGrant())
    Owner.drop();
  if (Now >= NodesAppliedAt + NodesInterval)
    applyNodes(Now);
  Client.tick(Now);
  send(Client.dueRequests(Now));
  serveAll();
}

} // namespace chivebeam
