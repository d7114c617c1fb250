#pragma once

#include "base/error.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// Writes the verdict on a move as the JSON that is kept in the store.
std::string writeVerdict(const move_progress &Progress, instant RecordedAt);
/// Reads a stored verdict as the move's progress, with Recorded set.
checked<move_progress> readVerdict(std::string_view Text);

} // namespace chivebeam
