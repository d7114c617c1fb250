#pragma once

#include "base/units.h"

namespace chivebeam {

/// Identifies one waiting or running call at a home node.
using call_number = basic_number<struct call_number_tag>;

} // namespace chivebeam
