#pragma once

#include <map>
#include <string>
#include <string_view>

#include "base/names.h"
#include "moves/latency_histogram.h"

namespace chivebeam {

/// Counters, gauges and latency histograms of a node of a mesh. The number of
/// series is bounded; further labels are counted under "other". Not thread
/// safe.
class mesh_metrics {
public:
  void count(std::string_view Name, std::string_view Label = "");
  void recordCall(const route_name &Route, std::string_view Outcome,
                  microseconds Duration);
  /// Sets a gauge.
  void set(std::string_view Name, double Value);

  /// Returns all metrics in the Prometheus text format.
  std::string text() const;

private:
  std::map<std::pair<std::string, std::string>, std::uint64_t> Counters;
  std::map<std::pair<std::string, std::string>, latency_histogram> Calls;
  std::map<std::string, double> Gauges;
};

} // namespace chivebeam
