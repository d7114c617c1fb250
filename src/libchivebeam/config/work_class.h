#pragma once

#include <optional>
#include <string_view>

namespace chivebeam {

/// Priority class of a service's calls. Under overload, classes with a higher
/// value are served first.
enum class work_class { status = 0, upload = 1, payment = 2 };

inline constexpr std::size_t WorkClassCount = 3;

/// Returns the name that settings, logs and metrics use for Class.
std::string_view toString(work_class Class);
/// Parses the name of a class. Returns nothing if Text is no such name.
std::optional<work_class> parseWorkClass(std::string_view Text);

} // namespace chivebeam
