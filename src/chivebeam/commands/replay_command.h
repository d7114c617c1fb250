#pragma once

#include "commands/command.h"

namespace chivebeam {

/// Decides every recorded step again and shows the first difference.
class replay_command : public command {
public:
  std::string_view name() const override { return "replay"; }
  std::string_view summary() const override {
    return "decide a recorded session again and compare";
  }
  std::string_view arguments() const override { return "[FILE]"; }
  void addOptions(option_list &Options) const override;
  exit_code run(const option_values &Values,
                const std::vector<std::string> &Arguments) const override;
};

} // namespace chivebeam
