#pragma once

#include <map>

#include "base/names.h"
#include "routing/decaying_rate.h"

namespace chivebeam {

/// Tells which calls of a workspace are in excess of its share of the calls
/// that arrive at one backend server. Only the calls within the shares are
/// counted, so that a workspace that sends many calls raises no bound by them.
/// Not thread safe.
class fair_shares {
public:
  /// Counts a call; returns whether it is within its workspace's share.
  /// \param Share fraction of all calls; zero: unknown, any call is within it.
  bool countCall(const workspace_name &Workspace, double Share, instant Now);

private:
  static constexpr microseconds HalfLife{2'000'000};

  std::map<workspace_name, decaying_rate> Rates; ///< of calls within the shares
  decaying_rate Total{HalfLife};
};

} // namespace chivebeam
