#pragma once

#include "commands/command.h"

namespace chivebeam {

/// Repeats the decision of each recorded step and shows the first difference.
class replay_command : public command {
public:
  std::string_view name() const override { return "replay"; }
  std::string_view summary() const override {
    return "repeat the decisions of a recorded session and compare";
  }
  std::string_view arguments() const override { return "[FILE]"; }
  void addOptions(option_list &Options) const override;
  exit_code run(const option_values &Values,
                const std::vector<std::string> &Arguments) const override;
};

} // namespace chivebeam
