#pragma once

#include "mesh/home_runner.h"
#include "mesh/mesh_state.h"
#include "mesh/move_executor.h"

namespace chivebeam {

/// Decides when the calls and failures that a home node has counted are sent to
/// the coordinator of a move. Runs on one io_context; not thread safe.
class evidence_reporter {
public:
  /// \pre all arguments outlive the reporter.
  evidence_reporter(const home_runner &Home, const mesh_state &State,
                    move_executor &Moves)
      : Home(Home), State(State), MoveExecutor(Moves) {}

  /// Sends the counts if they are due. Must be called several times a second.
  void tick(instant Now);

private:
  const home_runner &Home;
  const mesh_state &State;
  move_executor &MoveExecutor;
  evidence_by_route ReportedEvidence;
  instant ReportedAt;
};

} // namespace chivebeam
