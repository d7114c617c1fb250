#include "routing/fair_shares.h"

#include "routing/call_rank.h"

namespace chivebeam {

namespace {

/// Calls arrive unevenly, so a workspace may exceed its share by this factor
/// and by this rate.
constexpr double ToleratedFactor = 1.25;
constexpr double ToleratedCallsPerSecond = 1;

} // namespace

void fair_shares::setWorkspaces(
    const std::map<workspace_name, workspace> &All) {
  double Sum = 0;
  for (const auto &[Name, Workspace] : All)
    Sum += Workspace.Cap.RatePerSecond;
  std::erase_if(Capped, [&](const auto &Item) {
    auto Found = All.find(Item.first);
    return Found == All.end() || !Found->second.Cap.isLimited();
  });
  for (const auto &[Name, Workspace] : All)
    if (Workspace.Cap.isLimited()) {
      Capped[Name].Share = Workspace.Cap.RatePerSecond / Sum;
      Capped[Name].Priority = Workspace.Priority;
    }
}

bool fair_shares::countCall(const workspace_name &Workspace, instant Now) {
  auto Found = Capped.find(Workspace);
  if (Found == Capped.end())
    return true;
  decaying_rate &Rate = Found->second.Rate;
  double Bound = Found->second.Share * Total.perSecond(Now) * ToleratedFactor +
                 ToleratedCallsPerSecond;
  if (Rate.perSecond(Now) > Bound)
    return false;
  Rate.add(1, Now);
  Total.add(1, Now);
  return true;
}

unsigned fair_shares::rankBeyondShare(const workspace_name &Workspace) const {
  auto Found = Capped.find(Workspace);
  return lowestRankBeside(
      rankOf(Found == Capped.end() ? 0 : Found->second.Priority, 0));
}

} // namespace chivebeam
