#pragma once

#include "base/units.h"

namespace chivebeam {

/// How busy a home node's backend server is; written on every answer between
/// nodes. A plain value.
struct home_load {
  unsigned Running = 0;
  unsigned Waiting = 0;        ///< in the home node's queue
  unsigned Limit = 0;          ///< calls that it runs at a time; zero: none now
  microseconds ServiceTime{0}; ///< of a call, of late; zero: unknown
  unsigned FailedPermille = 0; ///< of late
  unsigned RefusedPermille = 0; ///< of calls of outside callers, of late

  friend bool operator==(const home_load &, const home_load &) = default;
};

} // namespace chivebeam
