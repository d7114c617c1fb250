#pragma once

#include <unordered_map>

#include "base/names.h"
#include "base/units.h"

namespace chivebeam {

/// Learns how long calls of each route take at one backend server. Not thread
/// safe.
class service_times {
public:
  void record(const route_name &Route, microseconds Duration);
  /// Returns the mean of late for a call of the route: of all routes if that
  /// one is new, a default before the first call.
  microseconds expected(const route_name &Route) const;
  /// True if a call of the route has run.
  bool hasSamples(const route_name &Route) const {
    return MicrosByRoute.contains(Route);
  }
  /// Returns the mean over all routes; zero before the first call.
  microseconds overall() const;
  /// Another backend server took the place of the one that was measured.
  void reset();

private:
  std::unordered_map<route_name, double> MicrosByRoute;
  double OverallMicros = 0;
};

} // namespace chivebeam
