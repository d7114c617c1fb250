#include "routing/round_robin_picker.h"

namespace chivebeam {

const endpoint *round_robin_picker::pick(const service_name &Service,
                                         const endpoint_group &Group,
                                         const std::set<node_id> &Excluded,
                                         instant) {
  std::size_t Size = Group.Local.size() + Group.Remote.size();
  for (std::size_t Step = 0; Step < Size; ++Step) {
    std::size_t Turn = Next[Service]++ % Size;
    const endpoint &Endpoint = Turn < Group.Local.size()
                                   ? Group.Local[Turn]
                                   : Group.Remote[Turn - Group.Local.size()];
    if (!Excluded.contains(Endpoint.Node))
      return &Endpoint;
  }
  return nullptr;
}

} // namespace chivebeam
