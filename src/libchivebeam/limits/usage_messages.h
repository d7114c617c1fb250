#pragma once

#include <cstdint>
#include <vector>

#include "base/names.h"
#include "base/units.h"

namespace chivebeam {

/// Request of an entry node for tokens of a workspace. A plain value.
struct usage_ask {
  workspace_name Workspace;
  unsigned Waiting = 0;  ///< calls that wait for a token
  unsigned Ahead = 0;    ///< tokens for calls that are expected soon
  unsigned Unspent = 0;  ///< tokens that the node holds of this owner
  unsigned Returned = 0; ///< tokens that lapsed unspent since the last request
};

/// Answer to a usage_ask. A plain value.
struct usage_grant {
  workspace_name Workspace;
  unsigned Tokens = 0;
  /// Time until the owner may have a token again; zero if it had enough for the
  /// waiting calls.
  microseconds RetryAfter{0};
};

/// Requests of a node to one owner, or the answer to them. A plain value.
struct usage_message {
  std::uint64_t Number = 0; ///< of the requests; repeated in the answer
  std::vector<usage_ask> Asks;
  std::vector<usage_grant> Grants;
};

} // namespace chivebeam
