#pragma once

#include <optional>

#include "membership/worker_report_filter.h"
#include "net/http_client.h"

namespace chivebeam {

/// What a backend server says to the node beside it.
struct worker_word {
  bool Leaves = false;  ///< it ends; only its name and start are told
  worker_report Report; ///< otherwise
  worker_id Worker;
  std::optional<std::int64_t> StartedAtMs;
};

/// How backend servers report. Thread safe.
class worker_dialect {
public:
  virtual ~worker_dialect() = default;

  /// Reads a report; an error if it is not one.
  virtual result<worker_word> read(const http_request &Request,
                                   instant Now) const = 0;
  virtual http_response acknowledge() const = 0;
  virtual http_response reject(const error &Problem) const = 0;
};

} // namespace chivebeam
