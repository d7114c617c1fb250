#pragma once

#include <algorithm>
#include <map>
#include <vector>

#include "routing/decaying_ratio.h"

namespace chivebeam {

/// The ratio of recently refused outside calls of one urgency.
struct refusal_ratio {
  unsigned Urgency = 0; ///< 0 is the most urgent; see rankOf
  unsigned Permille = 0;

  friend bool operator==(const refusal_ratio &,
                         const refusal_ratio &) = default;
};

/// Refusal ratios of several urgencies, the most urgent first.
using refusal_ratios = std::vector<refusal_ratio>;

/// Returns the highest ratio among urgencies at least as urgent as Urgency.
inline unsigned highestRefusalRatio(const refusal_ratios &Ratios,
                                    unsigned Urgency) {
  unsigned Worst = 0;
  for (const refusal_ratio &Ratio : Ratios)
    if (Ratio.Urgency <= Urgency)
      Worst = std::max(Worst, Ratio.Permille);
  return Worst;
}

/// Returns the ratio of exactly this urgency; zero if there is none.
inline unsigned refusalRatioAt(const refusal_ratios &Ratios, unsigned Urgency) {
  for (const refusal_ratio &Ratio : Ratios)
    if (Ratio.Urgency == Urgency)
      return Ratio.Permille;
  return 0;
}

/// Counts refusals by urgency, with exponential decay. Not thread safe.
class refusal_counter {
public:
  explicit refusal_counter(microseconds HalfLife) : HalfLife(HalfLife) {}

  void record(unsigned Urgency, bool Refused, instant Now) {
    if (Ratios.size() >= MaxUrgencies && !Ratios.contains(Urgency))
      std::erase_if(Ratios, [&](const auto &Item) {
        return Item.second.weight(Now) < 1;
      });
    if (Ratios.size() < MaxUrgencies || Ratios.contains(Urgency))
      Ratios.try_emplace(Urgency, HalfLife).first->second.record(Refused, Now);
  }
  /// Returns the ratios above zero; an urgency without a ratio has none.
  refusal_ratios ratios(instant Now) const {
    refusal_ratios Out;
    for (const auto &[Urgency, Ratio] : Ratios) {
      auto Permille = static_cast<unsigned>(Ratio.value(Now) * 1'000);
      if (Ratio.weight(Now) >= 1 && Permille > 0 && Out.size() < MaxRatios)
        Out.push_back({Urgency, Permille});
    }
    return Out;
  }

private:
  /// Bounds the size of the load report, which is sent with every answer
  /// between nodes.
  static constexpr std::size_t MaxRatios = 12;
  /// Bounds the memory for urgencies, which come and go with configurations.
  static constexpr std::size_t MaxUrgencies = 64;

  microseconds HalfLife;
  std::map<unsigned, decaying_ratio> Ratios;
};

} // namespace chivebeam
