#pragma once

#include "commands/command.h"

namespace chivebeam {

/// Runs a node until it receives SIGTERM or SIGINT.
class node_command : public command {
public:
  std::string_view name() const override { return "node"; }
  std::string_view summary() const override {
    return "run a node beside a backend server";
  }
  std::string_view arguments() const override { return ""; }
  void addOptions(option_list &Options) const override;
  exit_code run(const option_values &Values,
                const std::vector<std::string> &Arguments) const override;
};

} // namespace chivebeam
