#include "routing/fair_shares.h"

namespace chivebeam {

namespace {

/// Calls arrive unevenly, so a workspace may exceed its share by this factor
/// and by this rate.
constexpr double ToleratedFactor = 1.25;
constexpr double ToleratedCallsPerSecond = 1;
/// Bounds the memory for workspaces, which come and go; at this number, all
/// counts are dropped.
constexpr std::size_t MaxWorkspaces = 4'096;

} // namespace

bool fair_shares::countCall(const workspace_name &Workspace, double Share,
                            instant Now) {
  if (Share <= 0)
    return true;
  if (Rates.size() >= MaxWorkspaces && !Rates.contains(Workspace)) {
    Rates.clear();
    Total = decaying_rate(HalfLife);
  }
  decaying_rate &Rate = Rates.try_emplace(Workspace, HalfLife).first->second;
  double Bound =
      Share * Total.perSecond(Now) * ToleratedFactor + ToleratedCallsPerSecond;
  if (Rate.perSecond(Now) > Bound)
    return false;
  Rate.add(1, Now);
  Total.add(1, Now);
  return true;
}

} // namespace chivebeam
