#pragma once

#include <unordered_map>
#include <vector>

#include "base/names.h"
#include "base/units.h"

namespace chivebeam {

/// The services that the backend server beside this node has called recently,
/// learned from its nested calls. Not thread safe.
class called_services {
public:
  /// Time for which a service counts as called after its last call.
  static constexpr milliseconds Lifetime{3'000};

  void recordNestedCall(const service_name &Service, instant Now);
  std::vector<service_name> current(instant Now) const;

private:
  std::unordered_map<service_name, instant> LastCall;
};

} // namespace chivebeam
