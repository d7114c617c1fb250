#include "routing/fleet_view.h"

#include <algorithm>

#include "moves/move_decider.h"

namespace chivebeam {

namespace {

bool takesCalls(const member_record &Member) {
  return Member.State != member_state::dead && !Member.Leaving &&
         Member.Worker.State == worker_state::ready;
}

bool isConfigured(const snapshot &Config, const worker_record &Worker) {
  const service_entry *Service = Config.findService(Worker.Service);
  return Service &&
         std::find(Service->Versions.begin(), Service->Versions.end(),
                   Worker.Version) != Service->Versions.end();
}

endpoint toEndpoint(const member_record &Member) {
  return {Member.Node,
          {Member.Peer.Ip, Member.RelayPort},
          Member.Domain,
          Member.Region,
          Member.Worker.Version,
          Member.Worker.Slots,
          Member.Worker.ReadySince,
          worker_id()};
}

version_split splitOf(const snapshot &Config, const service_entry &Service,
                      const std::map<move_id, move_progress> &Moves) {
  const move_rule *Rule = Config.findMoveOf(Service.Service);
  if (!Rule)
    return {Service.Version, version_name(), 0};
  version_split Split{Rule->From, Rule->To, 0};
  if (auto Found = Moves.find(Rule->Id); Found != Moves.end())
    Split.NewShare = shareOf(planMove(*Rule), Found->second);
  return Split;
}

} // namespace

fleet_view_ptr makeFleetView(const snapshot_ptr &Config,
                             const std::vector<member_record> &Members,
                             const std::map<move_id, move_progress> &Moves,
                             const failure_domain &LocalDomain, bool Leaving) {
  auto View = std::make_shared<fleet_view>();
  View->Config = Config;
  View->Leaving = Leaving;
  for (const auto &[Name, Service] : Config->services())
    View->Splits[Name] = splitOf(*Config, Service, Moves);
  for (const member_record &Member : Members) {
    if (!takesCalls(Member) || !isConfigured(*Config, Member.Worker))
      continue;
    endpoint_group &Group =
        View->Endpoints[Member.Worker.Service][Member.Worker.Version];
    bool Local = Member.Domain == LocalDomain;
    (Local ? Group.Local : Group.Remote).push_back(toEndpoint(Member));
  }
  View->ClaimOwners = claimOwners(*Config, Members);
  return View;
}

} // namespace chivebeam
