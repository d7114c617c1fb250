#pragma once

#include "mesh/cancel_signal.h"
#include "mesh/mesh_call.h"

namespace chivebeam {

/// The answer to one request of a caller, from the start of its call until it
/// is written.
struct pending_answer {
  bool Idempotent = false; ///< the request may run beside others
  bool Ready = false;      ///< the fields below are set
  bool Keep = false;       ///< the connection stays open after it
  bool HeadOnly = false;   ///< of a HEAD request
  unsigned Status = 0;
  header_list Fields;
  shared_body Body;
  cancel_signal Cancel; ///< of the call
};

} // namespace chivebeam
