#include "routing/mesh_view.h"

namespace chivebeam {

namespace {

const service_move *findMove(const service_moves &Moves,
                             const service_name &Service) {
  auto Found = Moves.find(Service);
  return Found == Moves.end() ? nullptr : &Found->second;
}

unsigned newShareOf(const move_progress &Progress) {
  if (Progress.Recorded == move_verdict::done)
    return FullShare;
  bool TakenBack = Progress.Recorded == move_verdict::taken_back ||
                   Progress.Phase == move_phase::taken_back;
  return TakenBack ? 0 : Progress.Share;
}

version_split splitOf(const service_move *Move) {
  if (!Move)
    return {};
  return {Move->Rule.From, Move->Rule.To, newShareOf(Move->Progress)};
}

/// Returns whether a recorded verdict took the version out of service.
bool isOutOfService(const service_move *Move, const version_name &Version) {
  if (!Move)
    return false;
  if (Move->Progress.Recorded == move_verdict::taken_back)
    return Version == Move->Rule.To;
  return Move->Progress.Recorded == move_verdict::done &&
         Version == Move->Rule.From;
}

endpoint toEndpoint(const home_record &Home) {
  return {Home.Node,
          Home.Peer,
          Home.Domain,
          region_name(),
          Home.Worker.Version,
          Home.Worker.Slots,
          Home.Worker.ReadySince,
          Home.Start.Worker,
          Home.Start.StartedAtMs};
}

} // namespace

fleet_view_ptr makeMeshView(const snapshot_ptr &Config,
                            const std::vector<home_record> &Homes,
                            const service_moves &Moves,
                            const failure_domain &LocalDomain,
                            const std::set<failure_domain> &Evacuated) {
  auto View = std::make_shared<fleet_view>();
  View->Config = Config;
  for (const home_record &Home : Homes) {
    const service_name &Service = Home.Worker.Service;
    const service_move *Move = findMove(Moves, Service);
    if (!takesCalls(Home) || Evacuated.contains(Home.Domain) ||
        isOutOfService(Move, Home.Worker.Version))
      continue;
    version_split &Split = View->Splits[Service];
    Split = splitOf(Move);
    bool IsNew = Move && Home.Worker.Version == Move->Rule.To;
    endpoint_group &Group =
        View->Endpoints[Service][IsNew ? Split.New : Split.Old];
    (Home.Domain == LocalDomain ? Group.Local : Group.Remote)
        .push_back(toEndpoint(Home));
  }
  return View;
}

const endpoint_group *findGroup(const fleet_view &View,
                                const service_name &Service,
                                const version_name &Version) {
  auto Versions = View.Endpoints.find(Service);
  if (Versions == View.Endpoints.end())
    return nullptr;
  auto Group = Versions->second.find(Version);
  return Group == Versions->second.end() ? nullptr : &Group->second;
}

} // namespace chivebeam
