#pragma once

#include <optional>

#include "membership/worker_reports.h"
#include "net/http_client.h"

namespace chivebeam {

/// What a backend server says to the node beside it.
struct worker_message {
  bool IsDeregistration = false; ///< it ends; only its name and start are told
  worker_report Report;          ///< otherwise
  worker_id Worker;
  std::optional<std::int64_t> BornMs;
};

/// How backend servers report. Thread safe.
class worker_protocol {
public:
  virtual ~worker_protocol() = default;

  /// Reads a report; an error if it is not one.
  virtual result<worker_message> read(const http_request &Request,
                                      instant Now) const = 0;
  virtual http_response acknowledge() const = 0;
  virtual http_response reject(const error &Problem) const = 0;
};

} // namespace chivebeam
