#pragma once

#include <optional>
#include <string>

#include "mesh/mesh_call.h"

namespace chivebeam {

/// What a caller says about one call besides the request itself.
struct caller_metadata {
  request_id Id; ///< empty if it names none
  /// How long it waits for the answer.
  std::optional<milliseconds> CallerTimeout;
};

/// An answer of the node's own.
enum class own_answer {
  no_route,     ///< no route of the configuration takes the call
  not_ready,    ///< the node knows no configuration yet
  not_run,      ///< the call has not run and never will
  may_have_run, ///< it may have run, but there is no whole answer
  out_of_time,  ///< the same, at the end of the time it may take
  bad_request,  ///< the request is malformed
  header_too_large,
  body_too_large,
  too_slow, ///< the request did not arrive whole in time; it has not run
};

std::string_view toString(own_answer Answer);

/// How callers, nodes and backend servers write down what they tell each other
/// in HTTP header fields and statuses. Thread safe.
class call_protocol {
public:
  virtual ~call_protocol() = default;

  virtual caller_metadata readMetadata(const http::fields &Fields) const = 0;
  /// Writes the service of the instance where the call began, whatever its
  /// caller said.
  virtual void setCaller(header_list &Fields,
                         const service_name &Caller) const = 0;
  /// Writes what the backend server has to know of the call.
  virtual void addWorkerFields(header_list &Fields, const mesh_call &Call,
                               milliseconds TimeLeft) const = 0;
  /// True if the answer belongs to the call, false if to another one.
  virtual bool isAnswerTo(const header_list &Fields,
                          const request_id &Id) const = 0;
  /// Returns what the answer of a backend server says of the call.
  virtual attempt_outcome outcomeOf(unsigned Status,
                                    const header_list &Fields) const = 0;
  virtual unsigned statusOf(own_answer Answer) const = 0;
  /// Returns the fields of an answer of the node's own. Wait says when a call
  /// that was not run may come back.
  virtual header_list fieldsOf(own_answer Answer, const request_id &Id,
                               microseconds RetryAfter) const = 0;
  /// Returns the call that a backend server ran when it made this one. A hint
  /// that may be missing or forged.
  virtual std::optional<request_id> parentOf(const request_id &Id) const = 0;
};

} // namespace chivebeam
