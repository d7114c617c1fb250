#pragma once

#include <array>
#include <map>

#include "moves/evidence.h"

namespace chivebeam {

/// Kinds of evidence windows: since the start of the step, or a recent part of
/// it.
enum class window_kind { step, recent };

/// Collects the reports of a service's home nodes and returns the evidence
/// gathered since a window started. Calls that a node counted before its first
/// report was received are never included, since they belong to an earlier
/// time. Not thread safe.
class evidence_registry {
public:
  /// Stores a report unless a newer one of the same incarnation, or one of a
  /// later incarnation, is already stored.
  void addReport(const evidence_report &Report, instant Now);

  /// Restarts a window: everything reported so far no longer counts in it.
  void startWindow(window_kind Kind);

  /// Returns the evidence on both versions since the start of the window.
  evidence_window collectWindow(window_kind Kind, const version_name &Old,
                                const version_name &New) const;

  /// Returns the number of nodes of the version whose latest report was
  /// received at or after Since.
  unsigned countReportersSince(const version_name &Version,
                               instant Since) const;

private:
  struct source {
    evidence_report Latest;
    /// Counts at the start of each window, indexed by window_kind.
    std::array<evidence_by_route, 2> Baselines;
    instant ReceivedAt;
  };

  static void addSinceBaseline(const source &Source, window_kind Kind,
                               evidence_by_route &Sum);

  std::map<node_id, source> Sources;
};

} // namespace chivebeam
