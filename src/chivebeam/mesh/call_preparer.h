#pragma once

#include "config/key_check.h"
#include "mesh/call_protocol.h"
#include "mesh/entry_call.h"
#include "mesh/mesh_settings.h"
#include "routing/version_splitter.h"
#include "routing/weighted_splitter.h"

namespace chivebeam {

/// A call as received from its caller.
struct entry_request {
  request_id Id;
  std::string Method;
  std::string Target;
  std::string Host;
  header_list Fields;
  shared_body Body;
  /// Time that the caller waits for the answer.
  std::optional<milliseconds> CallerTimeout;
  instant ArrivedAt;
  api_key Key; ///< empty if the caller sends none
};

/// Decides the service, version, deadline and goal of a call that arrives at
/// its entry node. Runs on one io_context; not thread safe.
class call_preparer {
public:
  /// \pre Settings and Protocol outlive the preparer.
  call_preparer(const mesh_settings &Settings, const call_protocol &Protocol,
                std::uint64_t Seed)
      : Settings(Settings), Protocol(Protocol), Services(Seed), Versions(Seed) {
  }

  /// Fills Entry, apart from what depends on its parent call. \pre Entry has a
  /// view that contains the route and the workspace.
  void prepare(entry_call &Entry, const route_rule &Route,
               const call_permission &Permission, entry_request Request);
  /// Forgets what belongs to other routes.
  void keepOnly(const std::vector<route_rule> &Routes) {
    Services.keepOnly(Routes);
  }
  /// Counts the open calls of the new version of a service.
  version_splitter &versions() { return Versions; }

private:
  /// Returns the time when the caller sent its first attempt. A caller that
  /// retries is expected to lower its timeout by the time that has passed, so
  /// the difference from the longest timeout seen on the route is the age of
  /// the request.
  instant firstAttemptTime(const route_rule &Route,
                           const entry_request &Request);
  const mesh_settings &Settings;
  const call_protocol &Protocol;
  weighted_splitter Services;
  version_splitter Versions;
  /// Longest timeout that callers of a route have sent. First attempts have it.
  std::unordered_map<route_name, milliseconds> LongestCallerTimeout;
};

} // namespace chivebeam
