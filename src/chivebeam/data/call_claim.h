#pragma once

#include <optional>

#include "data/call_headers.h"
#include "data/data_plane.h"
#include "data/request_body.h"

namespace chivebeam {

/// Claims the idempotency key of one call, so that a payment runs at most once.
/// A call with a key runs only after its claim is durable. One object serves
/// one call. Runs on the data plane's io_context.
class call_claim {
public:
  /// \pre DataPlane outlives this object.
  explicit call_claim(data_plane &DataPlane) : Plane(DataPlane) {}

  /// Claims the call if it has a key, its route is not idempotent and its
  /// service supports claims. Returns the answer to the caller if the call must
  /// not run. \pre Body was read by readBuffered().
  awaitable<std::optional<problem>> acquire(const fleet_view &View,
                                            const route_rule &Route,
                                            const request_parser &Request,
                                            const request_body &Body,
                                            instant Deadline);
  /// Reports the outcome of the call to the claim's owner. Does nothing if the
  /// call has no granted claim.
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
