#include "usage_fleet.h"

#include <cmath>

namespace chivebeam {

namespace {

constexpr milliseconds TickInterval{100};
/// Time until a node that was cut off has the records of the others again.
constexpr milliseconds RecordDelay{700};

} // namespace

usage_fleet::usage_fleet(unsigned Count, unsigned Domains, std::uint64_t Seed)
    : Random(Seed), Nodes(Count), Records(Count) {
  for (unsigned Node = 0; Node < Count; ++Node) {
    Records[Node].Node = node_id(std::to_string(Node));
    Records[Node].Domain =
        failure_domain("zone-" + std::to_string(Node % Domains));
    Records[Node].Watches = Node < 2 * Domains;
    Nodes[Node].Client = std::make_unique<usage_client>(Records[Node].Domain);
  }
  applyNodes();
  after(TickInterval, [this] { tick(); });
}

unsigned usage_fleet::numberOf(const node_id &Name) const {
  return static_cast<unsigned>(std::stoul(Name.str()));
}

void usage_fleet::after(microseconds Delay, std::function<void()> Action) {
  Events.push({Now + Delay, NextEvent++, std::move(Action)});
}

void usage_fleet::run(milliseconds Duration) {
  instant Until = Now + Duration;
  while (Events.top().At <= Until) {
    event Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Action();
  }
  Now = Until;
}

void usage_fleet::setCaps(const usage_caps &New) {
  Caps = New;
  for (node &Node : Nodes)
    Node.Client->setCaps(Caps);
  applyNodes();
}

void usage_fleet::applyNodes() {
  for (unsigned Index = 0; Index < Nodes.size(); ++Index) {
    node &Node = Nodes[Index];
    if (Node.Cut || Node.Dead)
      continue;
    usage_owner_choice &Owners = Node.Client->owners();
    Owners.setNodes(Records);
    Node.Owner.setShares(
        Caps, Owners.parts(),
        [&](const workspace_name &Name) {
          return Owners.owns(Records[Index].Node, Records[Index].Domain, Name);
        },
        Now);
  }
}

void usage_fleet::setDemand(const workspace_name &Name, double PerSecond) {
  auto &[Rate, Era] = Demand[Name];
  Rate = PerSecond;
  arrive(Name, ++Era);
}

void usage_fleet::arrive(const workspace_name &Name, std::uint64_t Era) {
  auto [Rate, CurrentEra] = Demand[Name];
  if (Era != CurrentEra || Rate <= 0)
    return;
  double Gap = -std::log(1 - Random.unit()) / Rate;
  after(microseconds(static_cast<std::int64_t>(Gap * 1e6)), [this, Name, Era] {
    if (Demand[Name].second != Era)
      return;
    auto Index = static_cast<unsigned>(Random.below(Nodes.size()));
    node &Node = Nodes[Index];
    if (!Node.Dead) {
      Calls.push_back({Name, Now, instant(), false});
      usage_decision Decision = Node.Client->callArrived(Name, Now);
      if (Decision.Kind == usage_decision::kind::wait) {
        auto &Queue = Node.Waiting[Name];
        Queue.push_back(Calls.size() - 1);
        Node.Client->setWaiting(Name, static_cast<unsigned>(Queue.size()));
        send(Index, Node.Client->urgentRequests(Now));
      } else {
        end(Calls.size() - 1, Decision.Kind == usage_decision::kind::admitted);
      }
    }
    arrive(Name, Era);
  });
}

void usage_fleet::end(std::size_t Call, bool Admitted) {
  Calls[Call].DecidedAt = Now;
  Calls[Call].Admitted = Admitted;
}

void usage_fleet::serve(unsigned Index,
                        const std::vector<workspace_name> &Names) {
  node &Node = Nodes[Index];
  for (const workspace_name &Name : Names) {
    auto &Queue = Node.Waiting[Name];
    while (!Queue.empty()) {
      usage_decision Decision = Node.Client->decide(Name, Now);
      if (Decision.Kind == usage_decision::kind::wait)
        break;
      end(Queue.front(), Decision.Kind == usage_decision::kind::admitted);
      Queue.pop_front();
    }
    Node.Client->setWaiting(Name, static_cast<unsigned>(Queue.size()));
  }
  send(Index, Node.Client->urgentRequests(Now));
}

void usage_fleet::deliver(unsigned From, unsigned To,
                          std::function<void()> Action) {
  bool IsLost = From != To && (Nodes[From].Cut || Nodes[To].Cut);
  if (IsLost || Nodes[To].Dead || Nodes[From].Dead)
    return;
  ++Messages;
  microseconds Delay(From == To ? 0 : 1'000 + Random.below(9'000));
  after(Delay, [this, To, Action = std::move(Action)] {
    if (!Nodes[To].Dead)
      Action();
  });
}

usage_message usage_fleet::answer(unsigned To, unsigned From,
                                  const usage_message &Asks) {
  usage_message Answer{Asks.Number, {}, {}};
  if (Nodes[To].Cut)
    Nodes[To].Owner.drop();
  else
    Answer.Grants = Nodes[To].Owner.answer(Records[From].Node, Asks.Asks, Now);
  return Answer;
}

void usage_fleet::send(unsigned From, std::vector<usage_request> Requests) {
  for (usage_request &Request : Requests) {
    unsigned To = numberOf(Request.Owner);
    deliver(From, To, [this, From, To, Asks = std::move(Request.Message)] {
      deliver(To, From, [this, From, To, Answer = answer(To, From, Asks)] {
        serve(From, Nodes[From].Client->granted(Records[To].Node, Answer, Now));
      });
    });
  }
}

void usage_fleet::tick() {
  for (unsigned Index = 0; Index < Nodes.size(); ++Index) {
    node &Node = Nodes[Index];
    if (Node.Dead)
      continue;
    if (Node.Cut)
      Node.Owner.drop();
    std::vector<workspace_name> Silent = Node.Client->tick(Now);
    send(Index, Node.Client->dueRequests(Now));
    serve(Index, Silent);
  }
  after(TickInterval, [this] { tick(); });
}

void usage_fleet::replaceWatcher(unsigned Index) {
  home_record &Record = Records[Index];
  if (!std::exchange(Record.Watches, false))
    return;
  for (unsigned Other = 0; Other < Nodes.size(); ++Other)
    if (Records[Other].Domain == Record.Domain && !Records[Other].Watches &&
        Other != Index && !Nodes[Other].Dead && !Nodes[Other].Cut) {
      Records[Other].Watches = true;
      break;
    }
  applyNodes();
}

void usage_fleet::kill(unsigned Index, milliseconds Takeover) {
  Nodes[Index].Dead = true;
  after(Takeover, [this, Index] { replaceWatcher(Index); });
}

void usage_fleet::heal() {
  for (node &Node : Nodes)
    Node.Cut = false;
  after(RecordDelay, [this] { applyNodes(); });
}

void usage_fleet::restartAll() {
  for (unsigned Index = 0; Index < Nodes.size(); ++Index) {
    Nodes[Index].Client = std::make_unique<usage_client>(Records[Index].Domain);
    Nodes[Index].Client->setCaps(Caps);
    Nodes[Index].Owner = usage_owner();
    Nodes[Index].Waiting.clear();
    Nodes[Index].Dead = false;
  }
  after(seconds(1), [this] { applyNodes(); });
}

unsigned usage_fleet::ownerOf(const workspace_name &Name,
                              unsigned Domain) const {
  usage_owner_choice Owners;
  Owners.setNodes(Records);
  return numberOf(Owners.partsOf(Name, Records[Domain].Domain).front().Owner);
}

} // namespace chivebeam
