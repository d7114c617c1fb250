#pragma once

#include <map>
#include <sstream>
#include <string>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "base/names.h"
#include "config/work_class.h"
#include "moves/latency_histogram.h"

namespace chivebeam {

/// Latency histograms and quantiles of calls for each work class and workspace.
/// The number of series is limited; calls of further workspaces are counted
/// under "other". Not thread safe; used by the control thread only.
class call_metrics {
public:
  call_metrics();

  void record(work_class Class, const workspace_name &Workspace, bool Failed,
              microseconds Duration);

  /// Appends the metrics in the Prometheus text format.
  void write(std::string &Text) const;

private:
  using duration_statistics = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::sum, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square_quantile>>;

  struct series_key {
    work_class Class;
    workspace_name Workspace;
    friend auto operator<=>(const series_key &, const series_key &) = default;
  };
  struct series {
    series();
    duration_statistics Seconds;
    latency_histogram Histogram;
    std::uint64_t Failures = 0;
  };

  series &seriesFor(work_class Class, const workspace_name &Workspace);
  void writeHistogram(std::string &Text, const std::string &Labels,
                      const series &Series) const;
  void writeQuantiles(std::string &Text, const std::string &Labels,
                      const series &Series) const;

  std::map<series_key, series> Series;
};

} // namespace chivebeam
