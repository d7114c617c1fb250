#pragma once

#include "commands/command.h"

namespace chivebeam {

/// Shows the state, configuration number, members and moves of a node, or the
/// configurations of the whole fleet.
class status_command : public command {
public:
  std::string_view name() const override { return "status"; }
  std::string_view summary() const override {
    return "show the state of a node or of the fleet";
  }
  std::string_view arguments() const override { return "NODE"; }
  void addOptions(option_list &Options) const override;
  exit_code run(const option_values &Values,
                const std::vector<std::string> &Arguments) const override;
};

} // namespace chivebeam
