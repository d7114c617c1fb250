#pragma once

#include <string>
#include <string_view>

#include "base/units.h"

namespace chivebeam {

/// Hash of the content of a call: equal for a call and the later calls that
/// repeat it under other ids. Zero if it is not known.
using call_fingerprint = basic_number<struct call_fingerprint_tag>;

/// Returns the fingerprint of a call; never zero. Thread safe.
call_fingerprint fingerprintOf(std::string_view Method, std::string_view Host,
                               std::string_view Target, std::string_view Body);

/// Returns the fingerprint as hexadecimal digits.
std::string toHex(call_fingerprint Fingerprint);

} // namespace chivebeam
