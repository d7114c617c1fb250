#pragma once

#include <optional>

#include "data/call_headers.h"
#include "data/data_plane.h"
#include "data/request_body.h"

namespace chivebeam {

/// Lets a call with an idempotency key pass only once its claim is durable.
/// One object serves one call. Runs on the data plane's io_context.
class call_claim {
public:
  /// \pre DataPlane outlives the gate.
  explicit call_claim(data_plane &DataPlane) : Plane(DataPlane) {}

  /// Claims the call if it carries a key and its service takes claims; returns
  /// what the caller is told if it may not run. \pre Body was held.
  awaitable<std::optional<problem>> acquire(const fleet_view &View,
                                            const route_rule &Route,
                                            const request_parser &Request,
                                            const request_body &Body,
                                            instant Deadline);
  /// Reports how the call ended. Does nothing if it was not claimed.
  void finish(call_result Result, unsigned Status);

private:
  claim_client::owner_finder ownerFinder() const;
  void reportEnd(claim_outcome Outcome, unsigned Status);

  data_plane &Plane;
  service_name Service;
  claim_request Claim;
  bool Granted = false;
};

} // namespace chivebeam
