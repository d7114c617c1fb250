#include "limits/usage_owner.h"

#include "limits/usage_timing.h"

namespace chivebeam {

namespace {

/// A node whose view of the owners is newer or older asks again after this
/// time.
constexpr milliseconds NotOwnedRetryAfter{500};

} // namespace

void usage_owner::setShares(
    const usage_caps &Caps, std::size_t Parts,
    const std::function<bool(const workspace_name &)> &Owns, instant Now) {
  std::erase_if(Buckets, [&](const auto &Item) {
    return !Caps.contains(Item.first) || !Owns(Item.first);
  });
  auto Divisor = static_cast<double>(Parts);
  for (const auto &[Name, Cap] : Caps) {
    if (!Owns(Name))
      continue;
    usage_bucket &Bucket =
        Buckets.try_emplace(Name, Now + TakeoverDelay).first->second;
    Bucket.setLimit(Cap.RatePerSecond / Divisor, circulationOf(Cap) / Divisor,
                    Now);
  }
}

std::vector<usage_grant> usage_owner::answer(const node_id &Node,
                                             const std::vector<usage_ask> &Asks,
                                             instant Now) {
  std::vector<usage_grant> Grants;
  Grants.reserve(Asks.size());
  for (const usage_ask &Ask : Asks) {
    auto Found = Buckets.find(Ask.Workspace);
    Grants.push_back(Found == Buckets.end()
                         ? usage_grant{Ask.Workspace, 0, NotOwnedRetryAfter}
                         : Found->second.answer(Node, Ask, Now));
  }
  return Grants;
}

} // namespace chivebeam
