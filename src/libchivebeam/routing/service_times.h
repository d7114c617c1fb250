#pragma once

#include <unordered_map>

#include "base/names.h"
#include "base/units.h"

namespace chivebeam {

/// Mean durations of the calls of each route on one backend server. Not thread
/// safe.
class service_times {
public:
  void record(const route_name &Route, microseconds Duration);
  /// Returns the mean duration of recent calls of the route; the mean over all
  /// routes if this one has no samples, or a default before the first call.
  microseconds expected(const route_name &Route) const;
  /// Returns true if a call of the route has run.
  bool hasSamples(const route_name &Route) const {
    return MicrosByRoute.contains(Route);
  }
  /// Returns the mean over all routes; zero before the first call.
  microseconds overall() const;
  /// Call when another backend server has replaced the measured one.
  void reset();

private:
  std::unordered_map<route_name, double> MicrosByRoute;
  double OverallMicros = 0;
};

} // namespace chivebeam
