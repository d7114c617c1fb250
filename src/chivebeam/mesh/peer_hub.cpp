#include "mesh/peer_hub.h"

#include <algorithm>
#include <set>

namespace chivebeam {

namespace {

/// Nodes that are queried at a time.
constexpr std::size_t PeersPerQuery = 2;

} // namespace

void peer_hub::setPeers(const std::vector<home_record> &Records) {
  std::set<node_id> Present;
  for (const home_record &Record : Records) {
    Present.insert(Record.Node);
    std::shared_ptr<peer_link> &Link = Links[Record.Node];
    if (Link && Link->peer() == Record.Peer)
      continue;
    if (Link)
      Link->close();
    Link = std::make_shared<peer_link>(Context, Record.Node, Record.Peer,
                                       PeerState);
  }
  std::erase_if(Links, [&](const auto &Item) {
    bool Gone = !Present.contains(Item.first);
    if (Gone)
      Item.second->close();
    return Gone;
  });
}

void peer_hub::call(const node_id &Node, mesh_call Call,
                    const cancel_signal &Cancel, peer_link::reply Reply) {
  auto Found = Links.find(Node);
  if (Found != Links.end())
    return Found->second->call(std::move(Call), Cancel, std::move(Reply));
  mesh_answer Answer =
      emptyAnswer(attempt_outcome::not_sent, "the home node is unknown");
  Answer.Unreachable = true;
  Reply(std::move(Answer));
}

void peer_hub::broadcast(const peer_frame &Frame) {
  for (auto &[Node, Link] : Links)
    Link->send(Frame);
}

void peer_hub::send(const node_id &Node, const peer_frame &Frame) {
  if (auto Found = Links.find(Node); Found != Links.end())
    Found->second->send(Frame);
}

void peer_hub::ping(const node_id &Node) {
  if (auto Found = Links.find(Node); Found != Links.end())
    Found->second->ping();
}

void peer_hub::queryNextPeers() {
  // Each answer also carries the configuration number of its sender.
  std::size_t Queried = 0;
  for (std::size_t Step = 0; Step < Links.size() && Queried < PeersPerQuery;
       ++Step) {
    auto Position = Links.begin();
    std::advance(Position, NextQueriedPeer++ % Links.size());
    if (!Position->second->isOpen())
      continue;
    ++Queried;
    Position->second->send(frame(frame_kind::records_query));
  }
}

void peer_hub::tick(instant Now) {
  for (auto &[Node, Link] : Links)
    Link->tick(Now);
}

std::size_t peer_hub::openLinks() const {
  return static_cast<std::size_t>(
      std::count_if(Links.begin(), Links.end(),
                    [](const auto &Item) { return Item.second->isOpen(); }));
}

} // namespace chivebeam
