#pragma once

#include <unordered_map>

#include "membership/home_record.h"
#include "routing/server_notice.h"

namespace chivebeam {

/// What backend servers said about themselves in the answers that this node
/// passed on to callers. It outlasts the processes of their home nodes. Bounded
/// memory. Not thread safe.
class passed_notices {
public:
  /// Called for each answer of a start of a backend server.
  void answered(const worker_start &Server, const server_notice &Notice,
                instant Now);
  /// True if the server has said that it leaves. This can't be taken back.
  bool isLeaving(const worker_start &Server) const;
  /// Returns the rate limit that the server last named; empty if none.
  std::optional<call_rate> rateLimit(const worker_start &Server) const;

private:
  struct entry {
    std::int64_t StartedAtMs = 0;
    server_notice Notice;
    instant At;
  };

  const entry *find(const worker_start &Server) const;
  void dropOldest();

  /// By name; of several starts with a name, the latest.
  std::unordered_map<worker_id, entry> Servers;
};

} // namespace chivebeam
