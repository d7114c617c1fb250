#pragma once

#include <map>

#include "config/snapshot.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// Verdicts that the store holds.
using verdict_map = std::map<move_id, move_verdict>;

/// Finds what a publication would do to moves without saying so: drop one that
/// has no verdict yet, change one that has begun, send traffic back to a
/// version that a finished move had left, or reuse the id of a finished move.
/// Each with path and remedy. Thread safe.
error_list findMoveConflicts(const snapshot &Old, const snapshot &New,
                             const verdict_map &Verdicts, instant Now);

/// Finds what is valid but probably not meant, such as a service that no route
/// names. Thread safe.
error_list findWarnings(const snapshot &Config);

} // namespace chivebeam
