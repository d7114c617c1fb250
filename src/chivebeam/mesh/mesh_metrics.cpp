#include "mesh/mesh_metrics.h"

#include "telemetry/metric_text.h"

namespace chivebeam {

namespace {

constexpr std::size_t MaxSeries = 512;
constexpr std::string_view OtherLabel = "other";

template <typename Series>
auto &seriesOf(Series &All, std::string_view First, std::string_view Second) {
  std::pair<std::string, std::string> Key(First, Second);
  if (All.size() >= MaxSeries && !All.contains(Key))
    Key.second = OtherLabel;
  return All[Key];
}

std::string label(std::string_view Name, std::string_view Text) {
  std::string Label(Name);
  return Label.append("=\"").append(escapeLabel(Text)).append("\"");
}

void writeHistogram(std::string &Text, const std::string &Labels,
                    const latency_histogram &Histogram) {
  std::uint64_t CumulativeCalls = 0;
  for (std::size_t Bucket = 0; Bucket < latency_histogram::BucketCount;
       ++Bucket) {
    std::uint64_t BucketCalls = Histogram.buckets()[Bucket];
    CumulativeCalls += BucketCalls;
    if (BucketCalls == 0)
      continue;
    double Bound =
        std::chrono::duration<double>(latency_histogram::upperBound(Bucket))
            .count();
    appendMetric(Text, "chivebeam_call_seconds_bucket",
                 Labels + "," + label("le", formatMetricNumber(Bound)),
                 static_cast<double>(CumulativeCalls));
  }
  appendMetric(Text, "chivebeam_call_seconds_bucket",
               Labels + "," + label("le", "+Inf"),
               static_cast<double>(CumulativeCalls));
  appendMetric(Text, "chivebeam_call_seconds_count", Labels,
               static_cast<double>(CumulativeCalls));
}

} // namespace

void mesh_metrics::count(std::string_view Name, std::string_view Label) {
  ++seriesOf(Counters, Name, Label);
}

void mesh_metrics::recordCall(const route_name &Route, std::string_view Outcome,
                              microseconds Duration) {
  seriesOf(Calls, Outcome, Route.str()).record(Duration);
}

void mesh_metrics::set(std::string_view Name, double Value) {
  Gauges[std::string(Name)] = Value;
}

std::string mesh_metrics::text() const {
  std::string Text;
  for (const auto &[Key, Count] : Counters)
    appendMetric(Text, "chivebeam_" + Key.first + "_total",
                 Key.second.empty() ? "" : label("kind", Key.second),
                 static_cast<double>(Count));
  for (const auto &[Name, Value] : Gauges)
    appendMetric(Text, "chivebeam_" + Name, "", Value);
  for (const auto &[Key, Histogram] : Calls)
    writeHistogram(
        Text, label("route", Key.second) + "," + label("outcome", Key.first),
        Histogram);
  return Text;
}

} // namespace chivebeam
