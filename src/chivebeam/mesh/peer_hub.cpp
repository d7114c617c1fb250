#include "mesh/peer_hub.h"

#include <algorithm>

#include "membership/record_relay.h"

namespace chivebeam {

namespace {

/// Nodes that are pinged at a time.
constexpr std::size_t PeersPerPing = 2;

} // namespace

void peer_hub::setPeers(const std::vector<home_record> &Records) {
  Addresses.clear();
  for (const home_record &Record : Records)
    Addresses.emplace(Record.Node, Record.Peer);
  std::erase_if(Links, [&](const auto &Item) {
    auto Found = Addresses.find(Item.first);
    bool Keep =
        Item.second->hasOpenCalls() ||
        (Found != Addresses.end() && Found->second == Item.second->peer());
    if (!Keep)
      Item.second->close();
    return !Keep;
  });
}

peer_link *peer_hub::linkTo(const node_id &Node) {
  if (auto Found = Links.find(Node); Found != Links.end())
    return Found->second.get();
  auto Known = Addresses.find(Node);
  if (Known == Addresses.end())
    return nullptr;
  auto Link = std::make_shared<peer_link>(Context, Node, Known->second,
                                          PeerState, Answers);
  return Links.emplace(Node, std::move(Link)).first->second.get();
}

void peer_hub::addSession(const std::shared_ptr<peer_session> &Session) {
  Sessions.push_back(Session);
  Session->start();
}

void peer_hub::subscribeTo(const std::set<node_id> &Nodes) {
  for (const node_id &Node : SubscribedTo)
    if (auto Found = Links.find(Node);
        Found != Links.end() && !Nodes.contains(Node))
      Found->second->setKept(false);
  SubscribedTo = Nodes;
  for (const node_id &Node : SubscribedTo)
    if (peer_link *Link = linkTo(Node))
      Link->setKept(true);
}

void peer_hub::call(const node_id &Node, mesh_call Call,
                    const cancel_signal &Cancel, peer_link::reply Reply) {
  if (peer_link *Link = linkTo(Node))
    return Link->call(std::move(Call), Cancel, std::move(Reply));
  mesh_answer Answer =
      emptyAnswer(attempt_outcome::not_sent, "the home node is unknown");
  Answer.Unreachable = true;
  Reply(std::move(Answer));
}

void peer_hub::send(const node_id &Node, const peer_frame &Frame) {
  peer_link *Link = linkTo(Node);
  if (Link && Link->isOpen())
    Link->send(Frame);
  else if (Link)
    Link->ping();
}

bool peer_hub::sendIfOpen(const node_id &Node, const peer_frame &Frame) {
  auto Link = Links.find(Node);
  if (Link != Links.end() && Link->second->isOpen()) {
    Link->second->send(Frame);
    return true;
  }
  for (auto Weak = Sessions.rbegin(); Weak != Sessions.rend(); ++Weak)
    if (auto Session = Weak->lock();
        Session && Session->isOpen() && Session->peer() == Node) {
      Session->send(Frame);
      return true;
    }
  ping(Node);
  return false;
}

std::vector<std::shared_ptr<peer_session>> peer_hub::openSubscribers() const {
  std::vector<std::shared_ptr<peer_session>> Open;
  // The newest session of a node comes first: an older one may be dead.
  for (auto Weak = Sessions.rbegin(); Weak != Sessions.rend(); ++Weak)
    if (auto Session = Weak->lock(); Session && Session->isSubscriber())
      Open.push_back(std::move(Session));
  return Open;
}

void peer_hub::broadcast(const peer_frame &Frame, const node_id &Skipped) {
  // Two watchers of a failure domain subscribe to each other; a message is sent
  // to each node once.
  std::set<node_id> Sent{Skipped};
  for (const auto &Session : openSubscribers())
    if (Sent.insert(Session->peer()).second)
      Session->send(Frame);
  for (const node_id &Node : SubscribedTo)
    if (auto Found = Links.find(Node);
        Found != Links.end() && Sent.insert(Node).second)
      Found->second->send(Frame);
}

void peer_hub::relay(const std::vector<home_record> &Records,
                     const node_id &From, const failure_domain &OwnDomain) {
  std::set<node_id> Sent{From};
  for (const auto &Session : openSubscribers()) {
    if (!Sent.insert(Session->peer()).second)
      continue;
    peer_frame Frame = frame(frame_kind::records);
    for (const home_record &Record : Records)
      if ((Record.Gone || Record.Node != Session->peer()) &&
          passesOn(Record, From, OwnDomain, Session->peerDomain()))
        Frame.Records.push_back(Record);
    if (!Frame.Records.empty())
      Session->send(Frame);
  }
}

void peer_hub::ping(const node_id &Node) {
  if (peer_link *Link = linkTo(Node))
    Link->ping();
}

void peer_hub::pingNextPeers() {
  std::size_t Pinged = 0;
  for (std::size_t Step = 0; Step < Links.size() && Pinged < PeersPerPing;
       ++Step) {
    auto Position = Links.begin();
    std::advance(Position, NextPingedPeer++ % Links.size());
    if (!Position->second->isOpen())
      continue;
    ++Pinged;
    Position->second->ping();
  }
}

void peer_hub::replaceSuspectLinks(instant Now) {
  for (auto &[Node, Link] : Links) {
    auto Known = Addresses.find(Node);
    if (!Link->isSuspect(Now) || Known == Addresses.end())
      continue;
    Link->setKept(false);
    Replaced.push_back({Node, Link});
    Link = std::make_shared<peer_link>(Context, Node, Known->second, PeerState,
                                       Answers);
    Link->setKept(SubscribedTo.contains(Node));
    Link->ping();
  }
}

void peer_hub::checkReplacedLinks(instant Now) {
  for (const auto &[Node, Link] : Replaced) {
    Link->tick(Now);
    auto Successor = Links.find(Node);
    if (Link->isOpen() && Successor != Links.end() &&
        Successor->second->hasHeardPeer())
      Link->handleSilence(Now);
  }
  std::erase_if(Replaced, [](const replaced_link &Item) {
    bool IsDone = !Item.Link->hasOpenCalls();
    if (IsDone)
      Item.Link->close();
    return IsDone;
  });
}

void peer_hub::tick(instant Now) {
  for (auto &[Node, Link] : Links)
    Link->tick(Now);
  replaceSuspectLinks(Now);
  checkReplacedLinks(Now);
  std::erase_if(Sessions, [](const auto &Weak) { return Weak.expired(); });
  for (const std::weak_ptr<peer_session> &Weak : Sessions)
    if (auto Session = Weak.lock())
      Session->closeIfDead(Now);
  if (std::optional<node_id> Source = PeerState.nextConfigSource(Now))
    sendOverAny(*Source, frame(frame_kind::config_query));
}

std::size_t peer_hub::openLinks() const {
  return static_cast<std::size_t>(
      std::count_if(Links.begin(), Links.end(),
                    [](const auto &Item) { return Item.second->isOpen(); }));
}

bool peer_hub::isServing() const {
  return std::any_of(Sessions.begin(), Sessions.end(), [](const auto &Weak) {
    auto Session = Weak.lock();
    return Session && Session->isBusy();
  });
}

std::size_t peer_hub::subscribers() const { return openSubscribers().size(); }

} // namespace chivebeam
