#include "moves/evidence_registry.h"

namespace chivebeam {

void evidence_registry::addReport(const evidence_report &Report, instant Now) {
  auto [Position, Inserted] = Sources.try_emplace(Report.Node);
  source &Source = Position->second;
  if (Inserted) {
    Source.Baselines.fill(Report.Routes);
  } else {
    if (Report.Life < Source.Latest.Life)
      return;
    bool SameLife = Report.Life == Source.Latest.Life;
    if (SameLife && Report.Sequence <= Source.Latest.Sequence)
      return;
    if (!SameLife || Report.Version != Source.Latest.Version)
      Source.Baselines.fill({});
  }
  Source.Latest = Report;
  Source.ReceivedAt = Now;
}

void evidence_registry::startWindow(window_kind Kind) {
  for (auto &[Node, Source] : Sources)
    Source.Baselines[static_cast<std::size_t>(Kind)] = Source.Latest.Routes;
}

void evidence_registry::addSinceBaseline(const source &Source, window_kind Kind,
                                         evidence_by_route &Sum) {
  const evidence_by_route &Baseline =
      Source.Baselines[static_cast<std::size_t>(Kind)];
  for (const auto &[Route, Evidence] : Source.Latest.Routes) {
    route_evidence Difference = Evidence;
    if (auto Found = Baseline.find(Route); Found != Baseline.end())
      Difference.subtract(Found->second);
    if (Difference.Calls > 0)
      Sum[Route].add(Difference);
  }
}

evidence_window
evidence_registry::collectWindow(window_kind Kind, const version_name &Old,
                                 const version_name &New) const {
  evidence_window Window;
  for (const auto &[Node, Source] : Sources) {
    if (Source.Latest.Version == Old)
      addSinceBaseline(Source, Kind, Window.Old);
    else if (Source.Latest.Version == New)
      addSinceBaseline(Source, Kind, Window.New);
  }
  return Window;
}

unsigned evidence_registry::countReportersSince(const version_name &Version,
                                                instant Since) const {
  unsigned Count = 0;
  for (const auto &[Node, Source] : Sources)
    if (Source.Latest.Version == Version && Source.ReceivedAt >= Since)
      ++Count;
  return Count;
}

} // namespace chivebeam
