#pragma once

#include <map>

#include "config/snapshot.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// Verdicts recorded in the store, by move.
using verdict_map = std::map<move_id, move_verdict>;

/// Finds unintended effects of a publication on moves. Publishing New after Old
/// must not drop a move without a verdict, change a move that has started, send
/// traffic back to the version that a finished move has abandoned, or reuse the
/// id of a finished move. Returns one error with path and remedy for each.
/// Thread safe.
error_list findMoveConflicts(const snapshot &Old, const snapshot &New,
                             const verdict_map &Verdicts, instant Now);

/// True if a route leads to the service, if only by a part of its calls. Thread
/// safe.
bool hasRouteTo(const snapshot &Config, const service_name &Service);

/// Finds settings that are valid but probably unintended, such as a service
/// without a route. Thread safe.
error_list findWarnings(const snapshot &Config);

} // namespace chivebeam
