// What a node knows of the failure domains that operators evacuate.
#include "mesh/mesh_state.h"

#include "telemetry/log_event.h"

namespace chivebeam {

std::optional<evacuation_orders> mesh_state::knownEvacuations() const {
  if (!Evacuations.wasEverOrdered())
    return std::nullopt;
  return Evacuations.current();
}

void mesh_state::applyEvacuations(const evacuation_orders &Orders,
                                  const node_id &From) {
  if (Evacuations.apply(Orders))
    evacuationsChanged(From);
}

void mesh_state::evacuationsListed(std::set<failure_domain> Domains,
                                   store_revision Revision) {
  applyEvacuations({Era, Revision, std::move(Domains)}, Own.Node);
}

void mesh_state::evacuationChanged(const failure_domain &Domain,
                                   store_revision Revision, bool IsOrdered) {
  if (Evacuations.orderChanged(Era, Revision, Domain, IsOrdered))
    evacuationsChanged(Own.Node);
}

void mesh_state::evacuationsChanged(const node_id &From) {
  const evacuation_orders &Orders = Evacuations.current();
  std::string Domains;
  for (const failure_domain &Domain : Orders.Domains)
    Domains += (Domains.empty() ? "" : ",") + Domain.str();
  log_event("evacuation_changed")
      .add("domains", Domains)
      .add("revision", Orders.Revision)
      .add("own_domain", isEvacuated())
      .add("from", From);
  rebuild();
  if (OnEvacuationNews)
    OnEvacuationNews(From);
}

} // namespace chivebeam
