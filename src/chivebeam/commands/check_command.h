#pragma once

#include "commands/command.h"
#include "mesh/operator_document_format.h"

namespace chivebeam {

/// Checks a configuration before it is published or sent: a register and rules,
/// or an operator's document. Compiles with the same code as the nodes.
class check_command : public command {
public:
  /// \pre Format outlives the command.
  explicit check_command(const operator_document_format &Format)
      : Format(Format) {}

  std::string_view name() const override { return "check"; }
  std::string_view summary() const override {
    return "check a configuration without publishing it";
  }
  std::string_view arguments() const override {
    return "REGISTER RULES | --operator FILE";
  }
  void addOptions(option_list &Options) const override;
  exit_code run(const option_values &Values,
                const std::vector<std::string> &Arguments) const override;

private:
  exit_code checkSource(const std::string &Register,
                        const std::string &Rules) const;
  exit_code checkDocument(const option_values &Values) const;

  const operator_document_format &Format;
};

} // namespace chivebeam
