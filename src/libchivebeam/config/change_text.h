#pragma once

#include <string>

#include "base/units.h"

namespace chivebeam {

/// Returns Text in double quotes.
std::string quoted(const std::string &Text);
/// Returns the number with up to six digits and no trailing zeros.
std::string numberText(double Number);
/// Returns a time in seconds, such as "0.8 s".
std::string secondsText(microseconds Time);
/// Returns "WHAT BEFORE -> AFTER".
std::string changeText(const std::string &What, const std::string &Before,
                       const std::string &After);

} // namespace chivebeam
