#include "commands/node_command.h"

#include <iostream>

#include "commands/command_tools.h"
#include "node/node_process.h"
#include "telemetry/log_writer.h"

namespace chivebeam {

namespace options = boost::program_options;

void node_command::addOptions(option_list &Options) const {
  auto Add = Options.add_options();
  Add("settings", options::value<std::string>()->required(),
      "settings file of the node, in JSON with comments");
  Add("check", options::bool_switch(), "check the settings and exit");
}

exit_code node_command::run(const option_values &Values,
                            const std::vector<std::string> &Arguments) const {
  if (!Arguments.empty())
    return usageError(*this, "takes no arguments");
  std::string Path = Values["settings"].as<std::string>();
  result<std::string> Text = readFile(Path);
  if (!Text) {
    printErrors({Text.error()});
    return exit_code::check_failed;
  }
  checked<node_settings> Settings = readSettings(*Text);
  if (!Settings) {
    printErrors(Settings.error());
    return exit_code::check_failed;
  }
  if (Values["check"].as<bool>()) {
    std::cout << Path << ": valid\n";
    return exit_code::done;
  }
  log_writer::instance().start();
  node_process Process(std::move(*Settings));
  result<void> Started = Process.start();
  if (Started)
    Process.wait();
  log_writer::instance().stop();
  if (Started)
    return exit_code::done;
  printErrors({Started.error()});
  return exit_code::check_failed;
}

} // namespace chivebeam
