#pragma once

#include <string>

#include "base/names.h"
#include "base/units.h"
#include "claims/claim.h"

namespace chivebeam {

/// Builds the keys that a fleet uses in the platform's store.
class store_keys {
public:
  explicit store_keys(const fleet_name &Fleet)
      : Prefix("/chivebeam/" + Fleet.str() + "/") {}

  /// Prefix of the head and the watcher records, which are small and read
  /// together.
  std::string state() const { return Prefix + "state/"; }
  /// Number and publish id of the newest configuration.
  std::string head() const { return state() + "head"; }
  std::string sources() const { return Prefix + "sources/"; }
  std::string source(config_number Number) const;
  /// Prefix of the watcher records; each is attached to its holder's lease.
  std::string watcherLeases() const { return state() + "seats/"; }
  std::string watcherLeasesOf(const failure_domain &Domain) const {
    return watcherLeases() + Domain.str() + "/";
  }
  std::string watcherLease(const failure_domain &Domain, unsigned Index) const;
  std::string verdicts() const { return Prefix + "verdicts/"; }
  std::string verdict(const move_id &Move) const {
    return verdicts() + Move.str();
  }
  std::string journal(const move_id &Move) const {
    return Prefix + "journals/" + Move.str();
  }
  /// Prefix of a service's claim log: its segments, and the head, which holds
  /// the sequence number of the last segment.
  std::string claims(const service_name &Service) const {
    return Prefix + "claims/" + Service.str() + "/";
  }
  std::string claimHead(const service_name &Service) const {
    return claims(Service) + "head";
  }
  std::string claimSegments(const service_name &Service) const {
    return claims(Service) + "segments/";
  }
  std::string claimSegment(const service_name &Service,
                           claim_sequence Sequence) const;

private:
  std::string Prefix;
};

} // namespace chivebeam
