#include "base/error.h"

namespace chivebeam {

std::string_view toString(error_kind Kind) {
  switch (Kind) {
  case error_kind::invalid_input:
    return "invalid_input";
  case error_kind::not_found:
    return "not_found";
  case error_kind::conflict:
    return "conflict";
  case error_kind::unavailable:
    return "unavailable";
  case error_kind::unknown_effect:
    return "unknown_effect";
  case error_kind::over_limit:
    return "over_limit";
  }
  return "unknown";
}

std::string error::text() const {
  std::string Line = Path.empty() ? Message : Path + ": " + Message;
  if (!Remedy.empty())
    Line += "; " + Remedy;
  return Line;
}

} // namespace chivebeam
