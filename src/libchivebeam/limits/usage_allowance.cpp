#include "limits/usage_allowance.h"

#include <algorithm>
#include <cmath>

#include "limits/usage_timing.h"

namespace chivebeam {

namespace {

/// Tokens are held for the calls that are expected in this time.
constexpr double AheadSeconds = 0.5;
/// With less demand, tokens are requested only when a call needs one.
constexpr double MinAheadTokens = 1;

} // namespace

void usage_allowance::setCap(const usage_cap &New) {
  if (New.RatePerSecond < Cap.RatePerSecond || New.Burst < Cap.Burst)
    Lots.clear();
  if (New != Cap)
    DeniedUntil.clear();
  Cap = New;
}

bool usage_allowance::take(instant Now) {
  for (lot &Lot : Lots)
    if (Lot.Tokens > 0 && Lot.LapsesAt > Now) {
      --Lot.Tokens;
      return true;
    }
  return false;
}

unsigned usage_allowance::tokens(instant Now) const {
  unsigned Sum = 0;
  for (const lot &Lot : Lots)
    Sum += Lot.LapsesAt > Now ? Lot.Tokens : 0;
  return Sum;
}

unsigned usage_allowance::wanted(instant Now) const {
  double Tokens =
      std::min(Demand.perSecond(Now), Cap.RatePerSecond) * AheadSeconds;
  return Tokens < MinAheadTokens ? 0 : static_cast<unsigned>(std::ceil(Tokens));
}

bool usage_allowance::runsLow(instant Now) const {
  return tokens(Now) * 2 < wanted(Now);
}

bool usage_allowance::hasReturns(const failure_domain &Domain) const {
  return Returns.contains(Domain);
}

usage_ask usage_allowance::ask(const workspace_name &Name,
                               const failure_domain &Domain, unsigned Waiting,
                               instant Now) {
  dropLapsed(Now);
  usage_ask Ask{Name, Waiting, 0, 0, 0};
  for (const lot &Lot : Lots)
    if (Lot.Domain == Domain)
      Ask.Unspent += Lot.Tokens;
  unsigned Held = tokens(Now);
  unsigned Wanted = wanted(Now);
  Ask.Ahead = Wanted > Held ? Wanted - Held : 0;
  if (auto Found = Returns.find(Domain); Found != Returns.end()) {
    Ask.Returned = Found->second;
    Returns.erase(Found);
  }
  return Ask;
}

void usage_allowance::granted(const failure_domain &Domain,
                              const usage_grant &Grant, instant AskedAt,
                              instant Now) {
  if (Grant.Tokens > 0)
    Lots.push_back({Domain, Grant.Tokens, AskedAt + TokenLifetime});
  if (Grant.RetryAfter.count() > 0)
    DeniedUntil[Domain] = Now + Grant.RetryAfter;
  else
    DeniedUntil.erase(Domain);
}

void usage_allowance::dropLapsed(instant Now) {
  std::erase_if(Lots, [&](const lot &Lot) {
    bool Lapsed = Lot.LapsesAt <= Now;
    if (Lapsed && Lot.Tokens > 0)
      Returns[Lot.Domain] += Lot.Tokens;
    return Lapsed || Lot.Tokens == 0;
  });
}

instant usage_allowance::deniedUntil(const failure_domain &Domain) const {
  auto Found = DeniedUntil.find(Domain);
  return Found == DeniedUntil.end() ? instant() : Found->second;
}

bool usage_allowance::takeUnreached(std::size_t Nodes, instant Now) {
  auto Interval = microseconds(static_cast<std::int64_t>(
      static_cast<double>(Nodes) * 1e6 / unreachedRateOf(Cap)));
  if (UnreachedTokenAt == instant())
    UnreachedTokenAt = Now + Interval;
  // Skips the tokens that have lapsed.
  if (instant Oldest = Now - UnreachedTokenLifetime; UnreachedTokenAt < Oldest)
    UnreachedTokenAt += (Oldest - UnreachedTokenAt) / Interval * Interval;
  while (UnreachedTokenAt < Now - UnreachedTokenLifetime)
    UnreachedTokenAt += Interval;
  if (UnreachedTokenAt > Now)
    return false;
  UnreachedTokenAt += Interval;
  return true;
}

} // namespace chivebeam
