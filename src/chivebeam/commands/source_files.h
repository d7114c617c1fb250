#pragma once

#include "commands/command_tools.h"
#include "config/config_source.h"

namespace chivebeam {

/// Reads a register and rules from two files into an unnumbered source. Returns
/// the errors of both files.
checked<config_source> readSourceFiles(const std::string &RegisterPath,
                                       const std::string &RulesPath);

} // namespace chivebeam
