#pragma once

#include <map>
#include <string_view>

#include "base/random.h"
#include "routing/fleet_view.h"

namespace chivebeam {

/// Splits calls between two versions by error diffusion: after n calls, the new
/// version has received its share of n, plus or minus one. The open calls of a
/// new version are capped. The seed sets where in the sequence a node starts,
/// so that the nodes of a fleet do not send their first calls to the new
/// version all at the same time or all late. Not thread safe.
class version_splitter {
public:
  explicit version_splitter(std::uint64_t Seed = 0) : Random(Seed) {}

  /// Returns the version for the next call of the service. Calls with the same
  /// key stay on one version while the share is unchanged, and move from the
  /// old to the new version at most once as it grows. An empty key is not
  /// sticky.
  const version_name &choose(const service_name &Service,
                             const version_split &Split,
                             std::string_view StickyKey);

  /// Counts open calls, so that a new version that is slow to answer holds no
  /// more open calls than about its share.
  void callStarted(const service_name &Service, bool ToNew);
  void callEnded(const service_name &Service, bool ToNew);

private:
  struct split_state {
    unsigned Share = 0;
    /// Calls due to the new version, times FullShare.
    unsigned Deficit = 0;
    unsigned Open = 0; ///< open calls of both versions
    unsigned OpenNew = 0;
  };

  static bool atCap(const split_state &State);
  static bool hashesToNewVersion(std::string_view Key, unsigned Share);

  random_source Random;
  std::map<service_name, split_state> States;
};

} // namespace chivebeam
