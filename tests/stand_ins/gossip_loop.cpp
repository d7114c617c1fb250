#include "stand_ins/gossip_loop.h"

#include <algorithm>

#include "wire/node_messages.h"

namespace chivebeam::stand_ins {

namespace {

constexpr milliseconds TickInterval{50};
constexpr milliseconds CheckInterval{10};
constexpr std::size_t HeaderBytes = 28; ///< headers of IPv4 and UDP

address addressOf(std::size_t Node) {
  return {"127.0.0.1", static_cast<std::uint16_t>(Node + 1)};
}

} // namespace

gossip_loop::gossip_loop(membership_settings NewSettings, std::uint64_t Seed)
    : Settings(NewSettings), Random(Seed) {}

std::size_t gossip_loop::add(member_record Record,
                             const std::vector<std::size_t> &Known) {
  std::size_t Node = Nodes.size();
  Nodes.emplace_back();
  launch(Node, std::move(Record), Known);
  return Node;
}

void gossip_loop::restart(std::size_t Node, incarnation Incarnation,
                          const std::vector<std::size_t> &Known) {
  member_record Record = Nodes[Node].Member->self();
  Record.Incarnation = Incarnation;
  Record.Leaving = false;
  launch(Node, std::move(Record), Known);
}

void gossip_loop::launch(std::size_t Node, member_record Record,
                         const std::vector<std::size_t> &Known) {
  member &Member = Nodes[Node];
  Record.Peer = addressOf(Node);
  Member.Member = std::make_unique<membership>(
      fleet_name("fleet"), std::move(Record), Settings,
      Random.below(std::uint64_t{1} << 62));
  std::vector<address> Contacts;
  Contacts.reserve(Known.size());
  for (std::size_t Contact : Known)
    Contacts.push_back(addressOf(Contact));
  Member.Member->addContacts(Contacts);
  Member.Running = true;
  ++Member.StartCount;
  auto Phase = microseconds(static_cast<std::int64_t>(
      Random.below(microseconds(TickInterval).count())));
  push({Now + Phase, 0, Node, Member.StartCount, 0, 0, nullptr});
}

void gossip_loop::push(event Event) {
  Event.Order = NextOrder++;
  Events.push(std::move(Event));
}

instant gossip_loop::arrival() {
  auto Spread = static_cast<std::uint64_t>(
      (Quality.MaxDelay - Quality.MinDelay).count() + 1);
  return Now + Quality.MinDelay +
         microseconds(static_cast<std::int64_t>(Random.below(Spread)));
}

void gossip_loop::count(member &Member, std::size_t Bytes) {
  traffic &Traffic = Member.Traffic;
  std::int64_t Second =
      std::chrono::floor<seconds>(Now).time_since_epoch() / seconds(1);
  if (Second != Traffic.Second)
    Traffic.ThisSecond = 0;
  Traffic.Second = Second;
  Traffic.ThisSecond += Bytes;
  Traffic.PeakPerSecond = std::max(Traffic.PeakPerSecond, Traffic.ThisSecond);
}

void gossip_loop::send(std::size_t From,
                       const std::vector<addressed_message> &Messages) {
  for (const addressed_message &Item : Messages) {
    std::size_t Bytes = encodeDatagram(Item.Message).size() + HeaderBytes;
    if (OnSend)
      OnSend(Item, Bytes);
    Nodes[From].Traffic.Sent += Bytes;
    ++Nodes[From].Traffic.Messages;
    count(Nodes[From], Bytes);
    std::size_t To = Item.To.Port - std::size_t{1};
    bool Passes = To < Nodes.size() && (!Filter || Filter(From, To));
    if (!Passes || Random.unit() < Quality.Loss)
      continue;
    auto Message = std::make_shared<const gossip_message>(Item.Message);
    push({arrival(), 0, To, 0, From, Bytes, Message});
    if (Random.unit() < Quality.Duplicate)
      push({arrival(), 0, To, 0, From, Bytes, Message});
  }
}

void gossip_loop::handle(const event &Event) {
  member &Member = Nodes[Event.Node];
  if (!Member.Running)
    return;
  if (Event.Message) {
    Member.Traffic.Received += Event.Bytes;
    count(Member, Event.Bytes);
    send(Event.Node,
         Member.Member->receive(*Event.Message, addressOf(Event.From), Now));
    return;
  }
  if (Event.StartCount != Member.StartCount)
    return;
  send(Event.Node, Member.Member->tick(Now));
  push({Now + TickInterval, 0, Event.Node, Event.StartCount, 0, 0, nullptr});
}

void gossip_loop::run(microseconds Duration) {
  instant End = Now + Duration;
  while (!Events.empty() && Events.top().Due <= End) {
    event Event = Events.top();
    Events.pop();
    Now = Event.Due;
    handle(Event);
  }
  Now = End;
}

std::optional<microseconds>
gossip_loop::runUntil(const std::function<bool()> &Holds, microseconds Limit) {
  instant Start = Now;
  while (!Holds()) {
    if (Now >= Start + Limit)
      return std::nullopt;
    run(CheckInterval);
  }
  return Now - Start;
}

void gossip_loop::resetTraffic() {
  for (member &Member : Nodes)
    Member.Traffic = traffic();
}

bool gossip_loop::agrees() const {
  const member_table *First = nullptr;
  std::size_t Running = 0;
  for (const member &Member : Nodes) {
    if (!Member.Running)
      continue;
    ++Running;
    const member_table &Table = Member.Member->table();
    if (!First)
      First = &Table;
    if (Table.digest() != First->digest())
      return false;
  }
  return !First || First->liveCount() == Running;
}

} // namespace chivebeam::stand_ins
