#include "telemetry/call_metrics.h"

#include <array>

#include "telemetry/metric_text.h"

namespace chivebeam {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::size_t MaxSeries = 256;
constexpr std::array<double, 3> Quantiles{0.5, 0.9, 0.99};
/// Quantile estimates need a few samples before they mean anything.
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
                                              const workspace_name &Tenant) {
  series_key Key{Class, Tenant.empty() ? workspace_name("none") : Tenant};
  if (!Series.contains(Key) && Series.size() >= MaxSeries)
    Key.Tenant = workspace_name("other");
  return Series[Key];
}

void call_metrics::record(work_class Class, const workspace_name &Tenant,
                          bool Failed, microseconds Duration) {
  series &Target = seriesFor(Class, Tenant);
  Target.Seconds(toSeconds(Duration));
  Target.Histogram.record(Duration);
  Target.Failures += Failed ? 1 : 0;
}

void call_metrics::writeHistogram(std::string &Text, const std::string &Labels,
                                  const series &Series) const {
  const auto &Buckets = Series.Histogram.buckets();
  std::uint64_t Below = 0;
  for (std::size_t Index = 0; Index < Buckets.size(); ++Index) {
    Below += Buckets[Index];
    if (Buckets[Index] == 0)
      continue;
    std::string Bound =
        formatMetricNumber(toSeconds(latency_histogram::upperBound(Index)));
    std::string BucketLabels = Labels;
    BucketLabels.append(",le=\"").append(Bound).append("\"");
    appendMetric(Text, "chivebeam_call_seconds_bucket", BucketLabels,
                 static_cast<double>(Below));
  }
  appendMetric(Text, "chivebeam_call_seconds_bucket", Labels + ",le=\"+Inf\"",
               static_cast<double>(Below));
  appendMetric(Text, "chivebeam_call_seconds_sum", Labels,
               accumulators::sum(Series.Seconds));
  appendMetric(Text, "chivebeam_call_seconds_count", Labels,
               static_cast<double>(Below));
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
                         "\",tenant=\"" + escapeLabel(Key.Tenant.str()) + "\"";
    writeHistogram(Text, Labels, Item);
    writeQuantiles(Text, Labels, Item);
    appendMetric(Text, "chivebeam_call_failures_total", Labels,
                 static_cast<double>(Item.Failures));
  }
}

} // namespace chivebeam
