#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace chivebeam {

enum class change_kind { added, removed, changed };

/// Returns the name that reports use for Kind, such as "added".
constexpr std::string_view toString(change_kind Kind) {
  switch (Kind) {
  case change_kind::added:
    return "added";
  case change_kind::removed:
    return "removed";
  case change_kind::changed:
    return "changed";
  }
  return "changed";
}

/// One difference between two configurations. Value type.
struct config_change {
  change_kind Kind = change_kind::changed;
  std::string Path;   ///< what it concerns, such as: route "pay"
  std::string What;   ///< the difference; empty if Kind says all
  std::string Effect; ///< what it changes for callers

  friend bool operator==(const config_change &,
                         const config_change &) = default;
};

using config_change_list = std::vector<config_change>;

} // namespace chivebeam
