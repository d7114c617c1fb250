#include "commands/check_command.h"

#include <iostream>

#include "commands/source_files.h"
#include "config/compiler.h"
#include "config/publish_check.h"

namespace chivebeam {

void check_command::addOptions(option_list &) const {}

exit_code check_command::run(const option_values &,
                             const std::vector<std::string> &Arguments) const {
  if (Arguments.size() != 2)
    return usageError(*this, "expects the files REGISTER and RULES");
  checked<config_source> Source = readSourceFiles(Arguments[0], Arguments[1]);
  checked<snapshot_ptr> Compiled = Source.and_then(compile);
  if (!Compiled) {
    printErrors(Compiled.error());
    return exit_code::check_failed;
  }
  for (const error &Warning : findWarnings(**Compiled))
    std::cerr << "warning: " << Warning.text() << '\n';
  std::cout << "valid: " << (*Compiled)->services().size() << " services, "
            << (*Compiled)->routes().size() << " routes, "
            << (*Compiled)->moves().size() << " moves, digest "
            << (*Compiled)->digest() << '\n';
  return exit_code::done;
}

} // namespace chivebeam
