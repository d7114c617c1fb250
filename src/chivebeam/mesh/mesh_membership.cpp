#include "mesh/mesh_membership.h"

#include <algorithm>

#include "membership/watcher_choice.h"
#include "net/clock.h"

namespace chivebeam {

namespace {

/// A watcher that has not said for this time that it reads the store is not
/// used. It is pinged every second.
constexpr milliseconds UsableTime{2'200};
constexpr milliseconds SilenceCheckInterval{500};
/// A node without a usable watcher in its own failure domain uses those of
/// other domains after this time. They cost traffic between the domains.
constexpr milliseconds ForeignWatcherDelay{1'000};

} // namespace

mesh_membership::mesh_membership(const mesh_settings &MeshSettings,
                                 mesh_state &MeshState, peer_hub &PeerHub)
    : Settings(MeshSettings), State(MeshState), Hub(PeerHub),
      OwnDomainUsableAt(currentTime()) {
  State.onPeerStatus([this](const node_id &From, const peer_status &Status) {
    if (!Status.StoreAge)
      return;
    instant &At = CurrentAt[From];
    At = std::max(At, currentTime() - *Status.StoreAge);
  });
  State.onNews([this](const std::vector<home_record> &News,
                      const node_id &From) { relayNews(News, From); });
  State.onMoveNews([this](const service_move &Move, const node_id &From) {
    Hub.broadcastMove(Move, From);
  });
  State.onSuspectNews(
      [this](const std::vector<suspect_event> &News, const node_id &From) {
        peer_frame Frame = Hub.frame(frame_kind::records);
        Frame.Suspects = News;
        Hub.broadcast(Frame, From);
      });
  State.onEvacuationNews(
      [this](const node_id &From) { Hub.broadcast(Hub.statusFrame(), From); });
  State.onNewConfig([this] { announceStatus(); });
  State.onOwnRecord([this](const home_record &Record) {
    peer_frame Frame = Hub.frame(frame_kind::records);
    Frame.Records.push_back(Record);
    Hub.broadcast(Frame);
  });
}

void mesh_membership::announceStatus() {
  if (State.ownRecord().Watches)
    Hub.broadcast(Hub.statusFrame());
}

void mesh_membership::addListed(const std::vector<home_record> &Watchers) {
  State.applyRecords(Watchers, node_id());
}

bool mesh_membership::isUsable(const node_id &Watcher, instant Now) const {
  auto Found = CurrentAt.find(Watcher);
  return Found != CurrentAt.end() && Now < Found->second + UsableTime;
}

std::vector<node_id> mesh_membership::usableWatchers(instant Now) const {
  std::vector<node_id> Usable;
  for (const auto &[Node, At] : CurrentAt) {
    const home_record *Record = State.directory().find(Node);
    if (Record && isWatcher(*Record) && Record->Domain == Settings.Domain &&
        Node != Settings.Node && isUsable(Node, Now))
      Usable.push_back(Node);
  }
  return Usable;
}

bool mesh_membership::hasUsableWatcher(instant Now) const {
  return std::any_of(CurrentAt.begin(), CurrentAt.end(), [&](const auto &Item) {
    const home_record *Record = State.directory().find(Item.first);
    return Record && isWatcher(*Record) && isUsable(Item.first, Now);
  });
}

instant mesh_membership::watcherReadAt() const {
  instant Newest;
  for (const auto &[Node, At] : CurrentAt) {
    const home_record *Record = State.directory().find(Node);
    if (Record && isWatcher(*Record))
      Newest = std::max(Newest, At);
  }
  return Newest;
}

std::set<node_id> mesh_membership::chooseWatchers(instant Now) const {
  std::vector<watcher_candidate> Candidates;
  for (const home_record &Record : State.directory().records())
    if (isWatcher(Record) && Record.Node != Settings.Node)
      Candidates.push_back(
          {Record.Node, Record.Domain, isUsable(Record.Node, Now)});
  return State.ownRecord().Watches
             ? watchersForWatcher(Settings.Node, Settings.Domain, Candidates)
             : watchersForNode(Settings.Node, Settings.Domain, Candidates,
                               Now >= OwnDomainUsableAt + ForeignWatcherDelay);
}

void mesh_membership::relayNews(const std::vector<home_record> &News,
                                const node_id &From) {
  Hub.relay(News, From, Settings.Domain);
}

bool mesh_membership::isResponsibleFor(
    const home_record &Record, const std::set<failure_domain> &Watched) const {
  return Record.Node != Settings.Node &&
         (Record.Domain == Settings.Domain || !Watched.contains(Record.Domain));
}

void mesh_membership::checkSilentNodes(instant Now) {
  std::set<failure_domain> Watched;
  for (const auto &[Node, At] : CurrentAt) {
    const home_record *Record = State.directory().find(Node);
    if (Record && isWatcher(*Record) && isUsable(Node, Now))
      Watched.insert(Record->Domain);
  }
  auto Filter = [&](const home_record &Record) {
    return isResponsibleFor(Record, Watched);
  };
  for (const node_id &Node : State.directory().silentNodes(Filter, Now))
    Hub.ping(Node);
  std::vector<home_record> Gone = State.markGone(Filter, Now);
  if (!Gone.empty())
    Hub.relay(Gone, Settings.Node, Settings.Domain);
}

void mesh_membership::tick(instant Now) {
  if (State.ownRecord().Watches || !usableWatchers(Now).empty())
    OwnDomainUsableAt = Now;
  Hub.subscribeTo(chooseWatchers(Now));
  // A watcher that can't reach the store may be cut off from the other nodes as
  // well, so it draws no conclusion from their silence.
  if (State.ownStatus().StoreAge &&
      Now >= SilenceCheckedAt + SilenceCheckInterval) {
    SilenceCheckedAt = Now;
    checkSilentNodes(Now);
  }
  std::erase_if(CurrentAt, [&](const auto &Item) {
    return Now >= Item.second + UsableTime;
  });
}

} // namespace chivebeam
