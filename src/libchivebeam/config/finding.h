#pragma once

#include <vector>

#include "base/error.h"

namespace chivebeam {

enum class finding_severity {
  warning, ///< valid, but most likely a mistake
  error,   ///< nodes refuse it, or it can't work for any call
};

/// A mistake in a configuration, with its place and remedy. Value type.
struct finding {
  finding_severity Severity = finding_severity::warning;
  error Detail;

  friend bool operator==(const finding &, const finding &) = default;
};

using finding_list = std::vector<finding>;

} // namespace chivebeam
