#pragma once

#include <optional>
#include <string>

#include "config/api_key.h"
#include "mesh/mesh_call.h"

namespace chivebeam {

/// Metadata of a call in the header fields that its caller sends.
struct caller_metadata {
  request_id Id; ///< empty if the caller sends none
  /// Time that the caller waits for the answer.
  std::optional<milliseconds> CallerTimeout;
  api_key Key; ///< empty if the caller sends none
};

/// An answer that the node generates itself.
enum class own_answer {
  no_route,     ///< no route of the configuration matches the call
  not_ready,    ///< the node has no configuration yet
  not_run,      ///< the call has not run and never will
  may_have_run, ///< the call may have run, but there is no complete answer
  out_of_time,  ///< as may_have_run, after the deadline of the call
  unauthorized, ///< no workspace holds the API key of the call
  over_cap,     ///< the workspace of the call has used up its usage cap
  bad_request,  ///< the request is malformed
  header_too_large,
  body_too_large,
  too_slow, ///< the request did not arrive completely in time; it has not run
};

std::string_view toString(own_answer Answer);

/// Maps calls and answers to the HTTP header fields and statuses that callers,
/// nodes and backend servers exchange. Thread safe.
class call_protocol {
public:
  virtual ~call_protocol() = default;

  virtual caller_metadata readMetadata(const http::fields &Fields) const = 0;
  /// Sets the service of the instance where the call began and the workspace of
  /// its caller, if there is one; overwrites what the caller sent and removes
  /// its API key.
  virtual void setCaller(header_list &Fields, const service_name &Caller,
                         const workspace_name &Workspace) const = 0;
  /// Adds the fields that the backend server needs to run the call.
  virtual void addWorkerFields(header_list &Fields, const mesh_call &Call,
                               milliseconds TimeLeft) const = 0;
  /// True if the answer belongs to the call with this id.
  virtual bool isAnswerTo(const header_list &Fields,
                          const request_id &Id) const = 0;
  /// Returns the outcome of an attempt that the backend server answered.
  virtual attempt_outcome outcomeOf(unsigned Status,
                                    const header_list &Fields) const = 0;
  /// Returns what the backend server says about itself in an answer.
  virtual server_notice noticeIn(const header_list &Fields) const = 0;
  virtual unsigned statusOf(own_answer Answer) const = 0;
  /// Returns the header fields of an answer that the node generates. RetryAfter
  /// is the time after which the caller may retry a call that was not run.
  virtual header_list fieldsOf(own_answer Answer, const request_id &Id,
                               microseconds RetryAfter) const = 0;
  /// Returns the id of the call that a backend server was running when it sent
  /// this one. A hint only: it may be missing or forged.
  virtual std::optional<request_id> parentOf(const request_id &Id) const = 0;
};

} // namespace chivebeam
