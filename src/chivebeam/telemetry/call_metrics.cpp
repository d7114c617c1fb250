#include "telemetry/call_metrics.h"

#include <array>

#include "telemetry/metric_text.h"

namespace chivebeam {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::size_t MaxSeries = 256;
constexpr std::array<double, 3> Quantiles{0.5, 0.9, 0.99};
/// Quantile estimates are meaningless with fewer samples.
constexpr std::size_t MinSamplesForQuantiles = 8;
constexpr double MicrosPerSecond = 1e6;

double toSeconds(microseconds Duration) {
  return static_cast<double>(Duration.count()) / MicrosPerSecond;
}

} // namespace

call_metrics::call_metrics() = default;

call_metrics::series::series()
    : Seconds(accumulators::extended_p_square_probabilities = Quantiles) {}

call_metrics::series &call_metrics::seriesFor(work_class Class,
                                              const workspace_name &Workspace) {
  series_key Key{Class, Workspace.empty() ? workspace_name("none") : Workspace};
  if (!Series.contains(Key) && Series.size() >= MaxSeries)
    Key.Workspace = workspace_name("other");
  return Series[Key];
}

void call_metrics::record(work_class Class, const workspace_name &Workspace,
                          bool Failed, microseconds Duration) {
  series &Target = seriesFor(Class, Workspace);
  Target.Seconds(toSeconds(Duration));
  Target.Histogram.record(Duration);
  Target.Failures += Failed ? 1 : 0;
}

void call_metrics::writeHistogram(std::string &Text, const std::string &Labels,
                                  const series &Series) const {
  const auto &Buckets = Series.Histogram.buckets();
  std::uint64_t CumulativeCount = 0;
  for (std::size_t Index = 0; Index < Buckets.size(); ++Index) {
    CumulativeCount += Buckets[Index];
    if (Buckets[Index] == 0)
      continue;
    std::string UpperBound =
        formatMetricNumber(toSeconds(latency_histogram::upperBound(Index)));
    std::string BucketLabels = Labels;
    BucketLabels.append(",le=\"").append(UpperBound).append("\"");
    appendMetric(Text, "chivebeam_call_seconds_bucket", BucketLabels,
                 static_cast<double>(CumulativeCount));
  }
  appendMetric(Text, "chivebeam_call_seconds_bucket", Labels + ",le=\"+Inf\"",
               static_cast<double>(CumulativeCount));
  appendMetric(Text, "chivebeam_call_seconds_sum", Labels,
               accumulators::sum(Series.Seconds));
  appendMetric(Text, "chivebeam_call_seconds_count", Labels,
               static_cast<double>(CumulativeCount));
}

void call_metrics::writeQuantiles(std::string &Text, const std::string &Labels,
                                  const series &Series) const {
  appendMetric(Text, "chivebeam_call_seconds_max", Labels,
               accumulators::max(Series.Seconds));
  if (accumulators::count(Series.Seconds) < MinSamplesForQuantiles)
    return;
  for (double Quantile : Quantiles)
    appendMetric(
        Text, "chivebeam_call_seconds_quantile",
        Labels + ",quantile=\"" + formatMetricNumber(Quantile) + "\"",
        accumulators::quantile(Series.Seconds,
                               accumulators::quantile_probability = Quantile));
}

void call_metrics::write(std::string &Text) const {
  Text += "# TYPE chivebeam_call_seconds histogram\n";
  for (const auto &[Key, Item] : Series) {
    std::string Labels = "class=\"" + std::string(toString(Key.Class)) +
                         "\",tenant=\"" + escapeLabel(Key.Workspace.str()) +
                         "\"";
    writeHistogram(Text, Labels, Item);
    writeQuantiles(Text, Labels, Item);
    appendMetric(Text, "chivebeam_call_failures_total", Labels,
                 static_cast<double>(Item.Failures));
  }
}

} // namespace chivebeam
