#pragma once

#include <string>
#include <vector>

#include "sessions/move_journal.h"

namespace chivebeam {

/// Draws a timeline of shares for a terminal. Each line shows the time of a
/// point, the share, a bar and, if the move is no longer stepping, the phase.
/// Thread safe.
std::string drawShares(const std::vector<timeline_point> &Points);

} // namespace chivebeam
