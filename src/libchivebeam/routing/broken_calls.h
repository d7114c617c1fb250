#pragma once

#include <vector>

#include "membership/home_record.h"
#include "routing/call_fingerprint.h"

namespace chivebeam {

/// Calls without a whole answer: the backend server closed their connection, or
/// this node gave them up. They ran when the server ended if the server turns
/// out to be gone shortly after. Not thread safe.
class broken_calls {
public:
  /// Notes a call whose connection this start of the backend server closed.
  void add(call_fingerprint Fingerprint, const worker_start &Start,
           instant Now);
  /// Notes a call that this node gave up while the backend server ran it.
  void addGivenUp(call_fingerprint Fingerprint, const worker_start &Start,
                  instant Now);
  /// Called when this start of the backend server is known to be gone. Returns
  /// the calls that ran when it ended, each once, and forgets them.
  std::vector<call_fingerprint> takeEnded(const worker_start &Start,
                                          instant Now);

private:
  struct broken_call {
    call_fingerprint Fingerprint;
    worker_start Start;
    instant ConfirmUntil; ///< a later end of the server is another matter
  };

  void note(const broken_call &Call, instant Now);

  std::vector<broken_call> Calls;
};

} // namespace chivebeam
