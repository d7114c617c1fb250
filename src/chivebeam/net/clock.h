#pragma once

#include "base/units.h"

namespace chivebeam {

/// Returns the current time: the wall clock time of the first call plus the
/// steady clock time since then, so it never goes backwards. Only code that
/// runs on an event loop calls it; libchivebeam gets the time as an argument.
/// Thread safe.
instant currentTime();

} // namespace chivebeam
