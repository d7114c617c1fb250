#include "membership/watcher_election.h"

#include <algorithm>

namespace chivebeam {

void watcher_election::listed(std::optional<std::vector<watcher_slot>> Listed,
                              instant Now) {
  ++Listings;
  microseconds Interval = MinListInterval;
  for (unsigned Count = ListingsBeforeDoubling;
       Count < Listings && Interval < MaxListInterval; ++Count)
    Interval *= 2;
  NextListAt = Now + Interval / 2 + below(Interval);
  if (!Listed)
    return;
  Slots = std::move(*Listed);
  ListedAt = Now;
}

void watcher_election::claimFailed(instant Now) {
  ListedAt = instant();
  NextListAt = Now + below(MinListInterval);
  MissingSince = instant();
}

microseconds watcher_election::below(microseconds Limit) {
  return microseconds(Random.below(static_cast<std::uint64_t>(Limit.count())));
}

microseconds watcher_election::randomDelay(bool HasSpare) {
  microseconds Delay = HasFastLink ? below(FastLinkDelay)
                                   : MinSlowLinkDelay + below(SlowLinkDelay);
  return HasSpare ? Delay + SpareDelay : Delay;
}

std::optional<watcher_slot>
watcher_election::claimableSlot(const std::vector<node_id> &Usable,
                                instant Now) const {
  for (unsigned Number = 0; Number < SlotsPerDomain; ++Number) {
    auto Found =
        std::find_if(Slots.begin(), Slots.end(), [&](const watcher_slot &Slot) {
          return Slot.Domain == Domain && Slot.Number == Number;
        });
    if (Found == Slots.end())
      return watcher_slot{Domain, Number, Own, 0};
    bool InUse =
        std::find(Usable.begin(), Usable.end(), Found->Node) != Usable.end();
    if (Found->Node == Own || (!InUse && Now >= MissingSince + TakeoverTime))
      return *Found;
  }
  return std::nullopt;
}

election_step watcher_election::decide(const std::vector<node_id> &Usable,
                                       bool AnyUsable, instant Now) {
  election_step Step;
  if (FirstListAt == instant())
    FirstListAt =
        FirstStart ? Now + FirstStartListDelay / 2 + below(FirstStartListDelay)
                   : Now;
  if (AnyUsable)
    Listings = 0;
  if (Usable.size() >= SlotsPerDomain) {
    MissingSince = instant();
    Listings = 0;
    return Step;
  }
  if (MissingSince == instant() || Usable.size() < UsableBefore) {
    MissingSince = Now;
    ClaimAt = Now + randomDelay(!Usable.empty());
  }
  UsableBefore = Usable.size();
  // An earlier process of this node held a slot, and nobody has taken it over.
  auto OwnSlot = std::find_if(
      Slots.begin(), Slots.end(), [this](const watcher_slot &Slot) {
        return Slot.Domain == Domain && Slot.Node == Own;
      });
  if (OwnSlot != Slots.end() && ListedAt >= MissingSince) {
    Step.Kind = election_step::kind::claim;
    Step.Slot = *OwnSlot;
    return Step;
  }
  // Others may have claimed slots during the wait.
  bool ListingIsFresh = ListedAt >= ClaimAt;
  bool WantsList =
      (!AnyUsable && Now >= FirstListAt) || (Now >= ClaimAt && !ListingIsFresh);
  if (Now >= ClaimAt && ListingIsFresh) {
    if (std::optional<watcher_slot> Slot = claimableSlot(Usable, Now)) {
      Step.Kind = election_step::kind::claim;
      Step.Slot = *Slot;
      return Step;
    }
    // All slots are held by watchers that have not been unusable for long.
    WantsList = true;
  }
  if (WantsList && Now >= NextListAt)
    Step.Kind = election_step::kind::list;
  return Step;
}

} // namespace chivebeam
