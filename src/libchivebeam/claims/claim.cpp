#include "claims/claim.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chivebeam {

namespace {

std::uint64_t hashOf(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace

claim_key makeClaimKey(const service_name &Service, std::string_view Key) {
  XXH128_hash_t Hash =
      XXH3_128bits_withSeed(Key.data(), Key.size(), hashOf(Service.str(), 0));
  return {Hash.high64, Hash.low64};
}

request_digest digestRequest(std::string_view Method, std::string_view Target,
                             std::string_view Body) {
  return request_digest(hashOf(Body, hashOf(Target, hashOf(Method, 0))));
}

std::string_view toString(claim_verdict Verdict) {
  switch (Verdict) {
  case claim_verdict::granted:
    return "granted";
  case claim_verdict::running:
    return "running";
  case claim_verdict::unknown:
    return "unknown";
  case claim_verdict::ran:
    return "ran";
  case claim_verdict::other_request:
    return "other_request";
  case claim_verdict::unavailable:
    return "unavailable";
  case claim_verdict::not_owner:
    return "not_owner";
  case claim_verdict::over_limit:
    return "over_limit";
  }
  return "unavailable";
}

} // namespace chivebeam
