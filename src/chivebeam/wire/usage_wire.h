#pragma once

#include <vector>

#include "chivebeam_types.h"
#include "limits/usage_messages.h"

namespace chivebeam {

/// Convert between the requests and grants of tokens and their wire form.
/// Counts and times that another node sent are bounded. Thread safe.
std::vector<wire::usage_ask> toWire(const std::vector<usage_ask> &Asks);
std::vector<wire::usage_grant> toWire(const std::vector<usage_grant> &Grants);
std::vector<usage_ask> fromWire(const std::vector<wire::usage_ask> &In);
std::vector<usage_grant> fromWire(const std::vector<wire::usage_grant> &In);

} // namespace chivebeam
