#pragma once

#include <map>
#include <optional>

#include "config/usage_cap.h"
#include "limits/usage_messages.h"
#include "limits/usage_owner_choice.h"
#include "routing/decaying_rate.h"

namespace chivebeam {

/// What an entry node does with a call of a limited workspace.
struct usage_decision {
  enum class kind {
    admitted,
    wait,    ///< until an owner has answered
    refused, ///< the workspace is over its cap
  };
  kind Kind = kind::admitted;
  microseconds RetryAfter{0}; ///< if refused
};

/// The tokens of one workspace that an entry node holds, by the failure domain
/// of the owner that granted them. Not thread safe.
class usage_allowance {
public:
  /// Sets the cap. Tokens granted under a higher one are dropped.
  void setCap(const usage_cap &Cap);
  const usage_cap &cap() const { return Cap; }

  /// Notes that a call has arrived.
  void callArrived(instant Now) { Demand.add(1, Now); }
  /// Spends the token that lapses first. Returns false if there is none.
  bool take(instant Now);
  /// Returns the request to the owner in Domain. \pre it is sent at Now.
  usage_ask ask(const workspace_name &Name, const failure_domain &Domain,
                unsigned Waiting, instant Now);
  /// Applies the answer to a request that was sent at AskedAt.
  void granted(const failure_domain &Domain, const usage_grant &Grant,
               instant AskedAt, instant Now);
  /// Drops the tokens that have lapsed and notes them for return.
  void dropLapsed(instant Now);
  /// True if more tokens should be requested before they are needed.
  bool runsLow(instant Now) const;
  /// True if unspent tokens wait to be given back.
  bool hasReturns() const { return !Returns.empty(); }
  /// True if unspent tokens wait to be given back to the owner in Domain.
  bool hasReturns(const failure_domain &Domain) const;
  /// Time from which the owner in Domain may have tokens again.
  instant deniedUntil(const failure_domain &Domain) const;
  /// Spends a token of the small rate of a node that reaches no owner.
  bool takeUnreached(std::size_t Nodes, instant Now);
  /// Notes that an owner was reached.
  void reached() { UnreachedTokenAt = instant(); }

private:
  struct lot {
    failure_domain Domain;
    unsigned Tokens = 0;
    instant LapsesAt;
  };

  unsigned tokens(instant Now) const;
  /// Tokens to hold for the calls that are expected soon.
  unsigned wanted(instant Now) const;

  static constexpr milliseconds DemandHalfLife{1'000};

  usage_cap Cap;
  decaying_rate Demand{DemandHalfLife};
  std::vector<lot> Lots; ///< in the order of their requests
  std::map<failure_domain, unsigned> Returns;
  std::map<failure_domain, instant> DeniedUntil;
  instant UnreachedTokenAt; ///< zero: an owner was reached last
};

} // namespace chivebeam
