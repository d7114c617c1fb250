#pragma once

#include <set>

#include "base/names.h"
#include "base/units.h"

namespace chivebeam {

/// The failure domains whose backend servers get no calls by order of the
/// operators, as the store had them at one revision. A plain value.
struct evacuation_orders {
  store_era Era;
  store_revision Revision; ///< of the whole store; zero: never read
  std::set<failure_domain> Domains;

  friend bool operator==(const evacuation_orders &,
                         const evacuation_orders &) = default;
};

/// True if New was true of the store at a later time than Old.
bool isNewer(const evacuation_orders &New, const evacuation_orders &Old);

/// Decides which failure domains are evacuated, from listings and changes of
/// the store and from what other nodes know, in any order of arrival. The
/// orders of the highest era and revision are in force, so the end of an order
/// is passed on like its beginning. After the store came back from an older
/// copy, the orders stay in force until they are read from it. Not thread safe.
class evacuation_state {
public:
  /// Applies orders of a listing or of another node. Returns whether the
  /// domains changed.
  bool apply(const evacuation_orders &Orders);
  /// Applies the beginning or the end of one order, which the store reported
  /// in the order of revisions. Returns whether the domains changed.
  bool orderChanged(store_era Era, store_revision Revision,
                    const failure_domain &Domain, bool IsOrdered);

  const evacuation_orders &current() const { return Orders; }
  bool isEvacuated(const failure_domain &Domain) const {
    return Orders.Domains.contains(Domain);
  }
  /// True if this node or a node that it heard has known an order. Until then
  /// nodes need not tell each other that there is none.
  bool wasEverOrdered() const { return EverOrdered; }

private:
  evacuation_orders Orders;
  bool EverOrdered = false;
};

} // namespace chivebeam
