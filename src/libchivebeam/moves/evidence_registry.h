#pragma once

#include <array>
#include <map>

#include "moves/evidence.h"

namespace chivebeam {

/// From when a window of evidence counts.
enum class window_kind { step, recent };

/// Collects the reports of a service's home nodes and gives the evidence that
/// came in since a mark. What a node had counted before it was first heard of
/// never counts, since it lies at another time. Not thread safe.
class evidence_registry {
public:
  /// Takes in a report unless a newer one of the same life is known.
  void addReport(const evidence_report &Report, instant Now);

  /// Starts a window anew: what was reported so far no longer counts in it.
  void startWindow(window_kind Kind);

  /// Returns what both versions did since the mark.
  evidence_window collectWindow(window_kind Kind, const version_name &Old,
                                const version_name &New) const;

  /// Returns how many nodes of the version reported at or after Since.
  unsigned countReportersSince(const version_name &Version,
                               instant Since) const;

private:
  struct source {
    evidence_report Latest;
    /// What had been counted at each mark.
    std::array<evidence_by_route, 2> Baselines;
    instant ReceivedAt;
  };

  static void addSinceBaseline(const source &Source, window_kind Kind,
                               evidence_by_route &Sum);

  std::map<node_id, source> Sources;
};

} // namespace chivebeam
