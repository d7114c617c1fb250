#pragma once

#include "base/token_bucket.h"
#include "mesh/entry_call.h"

namespace chivebeam {

/// Writes a log line for each attempt of a call; of calls that succeed at the
/// first attempt only a few a second. Not thread safe.
class call_log {
public:
  /// Logs an attempt that ended at Now and took this time; Load is the last
  /// known load of its home node, or null.
  void attemptEnded(const entry_call &Entry, const endpoint &Endpoint,
                    const mesh_answer &Answer, next_step Step,
                    microseconds Took, const home_load *Load, instant Now);

private:
  static constexpr double SuccessLinesPerSecond = 5;
  static constexpr double SuccessLinesBurst = 20;

  token_bucket SuccessBudget{SuccessLinesPerSecond, SuccessLinesBurst};
  std::uint64_t OmittedLines = 0;
};

} // namespace chivebeam
