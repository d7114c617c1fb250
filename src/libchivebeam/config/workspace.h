#pragma once

#include <vector>

#include "base/names.h"
#include "config/api_key.h"
#include "config/usage_cap.h"

namespace chivebeam {

/// A group of callers that share API keys, a priority and a usage cap. Value
/// type.
struct workspace {
  workspace_name Name;
  unsigned Priority = 0; ///< 0 is the highest
  usage_cap Cap;
  std::vector<api_key> Keys;
};

} // namespace chivebeam
