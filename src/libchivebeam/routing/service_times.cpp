#include "routing/service_times.h"

namespace chivebeam {

namespace {

/// Weight of the newest call; the mean follows a change within ten calls.
constexpr double NewestWeight = 0.1;
/// Assumed duration before the first call on a backend server.
constexpr microseconds DefaultDuration{50'000};
/// Bounds the memory for routes, which come and go with the configuration; at
/// this number, all samples are dropped.
constexpr std::size_t MaxRoutes = 1'024;

void updateAverage(double &Mean, double Sample) {
  Mean = Mean == 0 ? Sample : Mean + (Sample - Mean) * NewestWeight;
}

microseconds toMicros(double Micros) {
  return microseconds(static_cast<std::int64_t>(Micros));
}

} // namespace

void service_times::record(const route_name &Route, microseconds Duration) {
  auto Micros = static_cast<double>(Duration.count());
  updateAverage(OverallMicros, Micros);
  if (MicrosByRoute.size() >= MaxRoutes && !MicrosByRoute.contains(Route))
    MicrosByRoute.clear();
  updateAverage(MicrosByRoute[Route], Micros);
}

microseconds service_times::expected(const route_name &Route) const {
  auto Found = MicrosByRoute.find(Route);
  if (Found != MicrosByRoute.end())
    return toMicros(Found->second);
  return OverallMicros > 0 ? toMicros(OverallMicros) : DefaultDuration;
}

microseconds service_times::overall() const { return toMicros(OverallMicros); }

void service_times::reset() {
  MicrosByRoute.clear();
  OverallMicros = 0;
}

} // namespace chivebeam
