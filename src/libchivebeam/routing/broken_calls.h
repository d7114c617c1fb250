#pragma once

#include <vector>

#include "membership/home_record.h"
#include "routing/call_fingerprint.h"

namespace chivebeam {

/// Calls whose connection to the backend server ended without an answer. They
/// ran when the server ended if the server turns out to be gone shortly after;
/// otherwise only their connections were lost. Not thread safe.
class broken_calls {
public:
  /// Notes a call that was sent to this start of the backend server.
  void add(call_fingerprint Fingerprint, const worker_start &Start,
           instant Now);
  /// Called when this start of the backend server is known to be gone. Returns
  /// the calls that ran when it ended, each once, and forgets them.
  std::vector<call_fingerprint> takeEnded(const worker_start &Start,
                                          instant Now);

private:
  struct broken_call {
    call_fingerprint Fingerprint;
    worker_start Start;
    instant At;
  };

  std::vector<broken_call> Calls;
};

} // namespace chivebeam
