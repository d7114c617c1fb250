#pragma once

#include <functional>

#include "config/usage_cap.h"
#include "limits/usage_bucket.h"

namespace chivebeam {

using usage_caps = std::map<workspace_name, usage_cap>;

/// The parts of token buckets that this node holds for its failure domain. Not
/// thread safe.
class usage_owner {
public:
  /// A part that this node takes over gets no tokens for this time, in which
  /// the previous owner notices that it is replaced.
  static constexpr milliseconds TakeoverDelay{1'000};

  /// Sets the caps, into how many equal parts each one is divided, and which
  /// parts this node owns. \pre Parts > 0.
  void setShares(const usage_caps &Caps, std::size_t Parts,
                 const std::function<bool(const workspace_name &)> &Owns,
                 instant Now);
  /// Answers the requests of a node, each with a grant.
  std::vector<usage_grant>
  answer(const node_id &Node, const std::vector<usage_ask> &Asks, instant Now);
  /// Gives up all parts, so that they begin empty when this node has them
  /// again.
  void drop() { Buckets.clear(); }
  std::size_t owned() const { return Buckets.size(); }

private:
  std::map<workspace_name, usage_bucket> Buckets;
};

} // namespace chivebeam
