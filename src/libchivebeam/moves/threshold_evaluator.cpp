#include "moves/threshold_evaluator.h"

#include <cstdio>

namespace chivebeam {

namespace {

constexpr std::uint64_t MinCalls = 20;
constexpr double FailureMargin = 0.05;

double failureShare(const route_evidence &Evidence) {
  return Evidence.Calls == 0 ? 0.0
                             : static_cast<double>(Evidence.Failures) /
                                   static_cast<double>(Evidence.Calls);
}

std::string describe(const route_evidence &Old, const route_evidence &New) {
  char Text[160];
  std::snprintf(
      Text, sizeof Text,
      "%.1f%% of %llu calls failed, against %.1f%% of %llu on the "
      "old version",
      failureShare(New) * 100, static_cast<unsigned long long>(New.Calls),
      failureShare(Old) * 100, static_cast<unsigned long long>(Old.Calls));
  return Text;
}

} // namespace

evaluation_result
threshold_evaluator::evaluate(const move_evidence &Evidence) const {
  const evidence_window &Window = Evidence.SinceStep;
  route_evidence Old = totalOf(Window.Old);
  route_evidence New = totalOf(Window.New);
  if (New.Calls < MinCalls)
    return {evaluation_outcome::undecided, "too few calls", 0};
  bool Bad = failureShare(New) > failureShare(Old) + FailureMargin;
  return {Bad ? evaluation_outcome::bad : evaluation_outcome::good,
          describe(Old, New), 0};
}

} // namespace chivebeam
