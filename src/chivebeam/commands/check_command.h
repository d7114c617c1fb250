#pragma once

#include "commands/command.h"

namespace chivebeam {

/// Compiles a register and rules with the same code as the nodes.
class check_command : public command {
public:
  std::string_view name() const override { return "check"; }
  std::string_view summary() const override {
    return "check a register and rules without publishing them";
  }
  std::string_view arguments() const override { return "REGISTER RULES"; }
  void addOptions(option_list &Options) const override;
  exit_code run(const option_values &Values,
                const std::vector<std::string> &Arguments) const override;
};

} // namespace chivebeam
