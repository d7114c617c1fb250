#include "store/store_keys.h"

#include <cstdio>

namespace chivebeam {

std::string store_keys::source(config_number Number) const {
  char Digits[24];
  std::snprintf(Digits, sizeof Digits, "%012llu",
                static_cast<unsigned long long>(Number.value()));
  return sources() + Digits;
}

std::string store_keys::watcherLease(const failure_domain &Domain,
                                     unsigned Index) const {
  return watcherLeasesOf(Domain) + std::to_string(Index);
}

std::string store_keys::claimSegment(const service_name &Service,
                                     claim_sequence Sequence) const {
  char Digits[24];
  std::snprintf(Digits, sizeof Digits, "%016llu",
                static_cast<unsigned long long>(Sequence.value()));
  return claimSegments(Service) + Digits;
}

} // namespace chivebeam
