#pragma once

#include "commands/command.h"

namespace chivebeam {

/// Shows the state of each move: done, taken back, or still moving.
class moves_command : public command {
public:
  std::string_view name() const override { return "moves"; }
  std::string_view summary() const override {
    return "show the verdict on each move";
  }
  std::string_view arguments() const override { return "[ID]"; }
  void addOptions(option_list &Options) const override;
  exit_code run(const option_values &Values,
                const std::vector<std::string> &Arguments) const override;
};

} // namespace chivebeam
