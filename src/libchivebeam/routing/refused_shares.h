#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "routing/recent_share.h"

namespace chivebeam {

/// The share of outside calls of one urgency that were refused of late.
struct refused_share {
  unsigned Urgency = 0; ///< 0 is the most urgent
  unsigned Permille = 0;

  friend bool operator==(const refused_share &,
                         const refused_share &) = default;
};

/// Refused shares, one an urgency, the most urgent first.
using refused_shares = std::vector<refused_share>;

/// Returns the largest share among calls at least as urgent as Urgency.
inline unsigned worstUpTo(const refused_shares &Shares, unsigned Urgency) {
  unsigned Worst = 0;
  for (const refused_share &Share : Shares)
    if (Share.Urgency <= Urgency)
      Worst = std::max(Worst, Share.Permille);
  return Worst;
}

/// Returns the share of exactly that urgency; zero if none is known.
inline unsigned shareOf(const refused_shares &Shares, unsigned Urgency) {
  for (const refused_share &Share : Shares)
    if (Share.Urgency == Urgency)
      return Share.Permille;
  return 0;
}

/// Counts refusals for each urgency; older ones fade. Not thread safe.
class refusal_counter {
public:
  explicit refusal_counter(microseconds HalfLife) : HalfLife(HalfLife) {}

  void record(unsigned Urgency, bool Refused, instant Now) {
    Shares.try_emplace(Urgency, HalfLife).first->second.record(Refused, Now);
  }
  refused_shares shares(instant Now) const {
    refused_shares Out;
    for (const auto &[Urgency, Share] : Shares)
      if (Share.weight(Now) >= 1 && Out.size() < MaxShares)
        Out.push_back(
            {Urgency, static_cast<unsigned>(Share.value(Now) * 1'000)});
    return Out;
  }

private:
  /// Written on every answer between nodes, so few are told.
  static constexpr std::size_t MaxShares = 4;

  microseconds HalfLife;
  std::map<unsigned, recent_share> Shares;
};

} // namespace chivebeam
