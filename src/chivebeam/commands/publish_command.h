#pragma once

#include "commands/command.h"

namespace chivebeam {

/// Publishes a register and rules with one compare-and-swap in the store.
class publish_command : public command {
public:
  std::string_view name() const override { return "publish"; }
  std::string_view summary() const override {
    return "publish a register and rules to the fleet";
  }
  std::string_view arguments() const override { return "REGISTER RULES"; }
  void addOptions(option_list &Options) const override;
  exit_code run(const option_values &Values,
                const std::vector<std::string> &Arguments) const override;
};

} // namespace chivebeam
