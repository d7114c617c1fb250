#include "claims/claim_owner.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chivebeam {

namespace {

std::uint64_t rankOf(const service_name &Service, const node_id &Node) {
  return XXH3_64bits_withSeed(
      Node.str().data(), Node.str().size(),
      XXH3_64bits(Service.str().data(), Service.str().size()));
}

bool canOwnLog(const member_record &Member, const service_name &Service) {
  return Member.State == member_state::alive && !Member.Leaving &&
         Member.Worker.Service == Service;
}

} // namespace

std::optional<claim_owner>
claimOwnerOf(const service_name &Service,
             const std::vector<member_record> &Members) {
  const member_record *First = nullptr;
  for (const member_record &Member : Members)
    if (canOwnLog(Member, Service) &&
        (!First || rankOf(Service, Member.Node) < rankOf(Service, First->Node)))
      First = &Member;
  if (!First)
    return std::nullopt;
  return claim_owner{First->Node, First->Peer};
}

std::map<service_name, claim_owner>
claimOwners(const snapshot &Config, const std::vector<member_record> &Members) {
  std::map<service_name, claim_owner> Owners;
  for (const auto &[Name, Service] : Config.services()) {
    if (!supportsClaims(Service))
      continue;
    if (std::optional<claim_owner> Owner = claimOwnerOf(Name, Members))
      Owners[Name] = *Owner;
  }
  return Owners;
}

std::size_t countClaimLogs(const snapshot &Config) {
  return static_cast<std::size_t>(std::count_if(
      Config.services().begin(), Config.services().end(),
      [](const auto &Item) { return supportsClaims(Item.second); }));
}

} // namespace chivebeam
