#pragma once

#include "commands/command.h"

namespace chivebeam {

/// Lists the published configurations, newest first.
class history_command : public command {
public:
  std::string_view name() const override { return "history"; }
  std::string_view summary() const override {
    return "list the published configurations";
  }
  std::string_view arguments() const override { return ""; }
  void addOptions(option_list &Options) const override;
  exit_code run(const option_values &Values,
                const std::vector<std::string> &Arguments) const override;
};

} // namespace chivebeam
