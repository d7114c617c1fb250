#pragma once

#include <optional>
#include <vector>

#include "base/random.h"
#include "membership/home_record.h"

namespace chivebeam {

/// A slot for a watcher in the store, as of the last listing. A plain value.
struct watcher_slot {
  failure_domain Domain;
  unsigned Number = 0;
  node_id Node;               ///< the watcher that holds the slot
  std::uint64_t Revision = 0; ///< of the slot's key; zero: the slot is free
};

/// Next action of a node that takes part in the election of watchers.
struct election_step {
  enum class kind {
    none,
    list,  ///< read the slots of all domains; the result may be stale
    claim, ///< write this node into the slot if it is unchanged
  };
  kind Kind = kind::none;
  watcher_slot Slot; ///< to claim
};

/// Decides when a node tries to become a watcher. A failure domain has a fixed
/// number of slots for watchers, which read the store for all of its nodes, so
/// that the calls to the store don't grow with the fleet. A node claims a slot
/// of its domain if too few watchers can be used there. Nodes wait for a random
/// time first, nodes with fast links for a shorter one, so that few claim at
/// the same time. A claim succeeds only if the slot is as it was listed. Not
/// thread safe.
class watcher_election {
public:
  static constexpr unsigned SlotsPerDomain = 2;
  /// Upper limits of the random wait before a claim, for nodes with fast and
  /// with slow links. It starts when the node notices that a watcher is
  /// missing; SpareDelay is added if another one is left.
  static constexpr milliseconds FastLinkDelay{300};
  static constexpr milliseconds SlowLinkDelay{1'500};
  static constexpr milliseconds SpareDelay{1'500};
  /// Slow links wait at least this long, so that a fast one can claim first.
  static constexpr milliseconds MinSlowLinkDelay{500};
  /// Mean interval of listings while no watcher can be used. After some
  /// listings it doubles up to the upper limit.
  static constexpr milliseconds MinListInterval{500};
  static constexpr milliseconds MaxListInterval{4'000};
  static constexpr unsigned ListingsBeforeDoubling = 4;
  /// When the whole system starts for the first time, the first listing waits
  /// this long, since no watcher is elected sooner.
  static constexpr milliseconds FirstStartListDelay{400};
  /// A slot whose watcher could not be used for this time may be taken over.
  static constexpr milliseconds TakeoverTime{2'000};

  watcher_election(node_id Own, failure_domain Domain, bool HasFastLink,
                   bool FirstStart, std::uint64_t Seed)
      : Own(std::move(Own)), Domain(std::move(Domain)),
        HasFastLink(HasFastLink), FirstStart(FirstStart), Random(Seed) {}

  /// Notes the result of a listing; nothing if it failed.
  void listed(std::optional<std::vector<watcher_slot>> Slots, instant Now);
  /// Notes that a claim failed or that the role was lost: the known slots are
  /// outdated.
  void claimFailed(instant Now);

  /// Decides the next step of a node that is no watcher. Usable holds the
  /// watchers of the own domain that answer and read the store; AnyUsable says
  /// whether there is such a watcher in any domain.
  election_step decide(const std::vector<node_id> &Usable, bool AnyUsable,
                       instant Now);

private:
  microseconds below(microseconds Limit);
  microseconds randomDelay(bool HasSpare);
  void resetListing() { Listings = 0; }
  /// Returns the slot to claim, or nothing if all are in use.
  std::optional<watcher_slot> claimableSlot(const std::vector<node_id> &Usable,
                                            instant Now) const;

  node_id Own;
  failure_domain Domain;
  bool HasFastLink;
  bool FirstStart;
  random_source Random;
  std::vector<watcher_slot> Slots;
  instant ListedAt; ///< of the last successful listing
  instant NextListAt;
  instant FirstListAt;   ///< zero: not set yet
  unsigned Listings = 0; ///< since a watcher could last be used
  instant MissingSince;  ///< zero: enough watchers can be used
  instant ClaimAt;
  std::size_t UsableBefore = 0;
};

} // namespace chivebeam
