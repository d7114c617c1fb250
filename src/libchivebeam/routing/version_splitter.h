#pragma once

#include <map>
#include <string_view>

#include "base/random.h"
#include "routing/fleet_view.h"

namespace chivebeam {

/// Divides calls between two versions by error diffusion: after n calls the
/// new version has had its share of n, give or take one. A new version also has
/// a cap on its open calls. Where in its round a node begins follows from its
/// seed, so that the nodes of a fleet do not all send their first call to the
/// new version late, or all at once. Not thread safe.
class version_splitter {
public:
  explicit version_splitter(std::uint64_t Seed = 0) : Random(Seed) {}

  /// Returns the version that the next call of the service goes to. Calls
  /// with the same key stay with one version while the share is unchanged, and
  /// leave the old one once as the share grows; an empty key is not sticky.
  const version_name &choose(const service_name &Service,
                             const version_split &Split,
                             std::string_view StickyKey);

  /// Counts calls that are open, so that a new version that holds its calls
  /// long gets no more of them than about its share.
  void callStarted(const service_name &Service, bool ToNew);
  void callEnded(const service_name &Service, bool ToNew);

private:
  struct split_state {
    unsigned Share = 0;
    unsigned Deficit = 0; ///< parts of FullShare owed to the new version
    unsigned Open = 0;    ///< calls of both versions
    unsigned OpenNew = 0;
  };

  static bool atCap(const split_state &State);
  static bool hashesToNewVersion(std::string_view Key, unsigned Share);

  random_source Random;
  std::map<service_name, split_state> States;
};

} // namespace chivebeam
