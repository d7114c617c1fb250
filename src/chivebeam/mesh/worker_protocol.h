#pragma once

#include <optional>

#include "membership/worker_report_filter.h"
#include "net/http_client.h"

namespace chivebeam {

/// A message of a backend server to the node beside it.
struct worker_message {
  /// True if the backend server deregisters. Then only Worker and, if
  /// known, StartedAtMs are set.
  bool IsDeregistration = false;
  worker_report Report; ///< set unless IsDeregistration
  worker_id Worker;
  std::optional<std::int64_t> StartedAtMs;
};

/// Reads and answers the reports of backend servers. Thread safe.
class worker_protocol {
public:
  virtual ~worker_protocol() = default;

  /// Parses a report; returns an error if the request is not one.
  virtual result<worker_message> read(const http_request &Request,
                                      instant Now) const = 0;
  virtual http_response acknowledge() const = 0;
  virtual http_response reject(const error &Problem) const = 0;
};

} // namespace chivebeam
