#pragma once

#include "base/units.h"

namespace chivebeam {

/// Returns a random time of at most Longest, so that nodes do not all retry at
/// the same time. \pre Longest is not negative. Not thread safe.
microseconds jitter(microseconds Longest);

} // namespace chivebeam
