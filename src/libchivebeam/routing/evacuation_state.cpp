#include "routing/evacuation_state.h"

#include <tuple>

namespace chivebeam {

bool isNewer(const evacuation_orders &New, const evacuation_orders &Old) {
  return std::tie(New.Era, New.Revision) > std::tie(Old.Era, Old.Revision);
}

bool evacuation_state::apply(const evacuation_orders &Newer) {
  EverOrdered = EverOrdered || !Newer.Domains.empty();
  if (!isNewer(Newer, Orders))
    return false;
  bool Changed = Newer.Domains != Orders.Domains;
  Orders = Newer;
  return Changed;
}

bool evacuation_state::orderChanged(store_era Era, store_revision Revision,
                                    const failure_domain &Domain,
                                    bool IsOrdered) {
  // A change says nothing about the other domains, so it needs the orders of
  // the same era before it.
  if (Era != Orders.Era || Orders.Revision == store_revision())
    return false;
  evacuation_orders Newer = Orders;
  Newer.Revision = Revision;
  if (IsOrdered)
    Newer.Domains.insert(Domain);
  else
    Newer.Domains.erase(Domain);
  return apply(Newer);
}

} // namespace chivebeam
