#include "commands/check_command.h"
#include "commands/command.h"
#include "platform/operator_json_format.h"
#include "platform/sidecar_command.h"

int main(int Count, char **Arguments) {
  const chivebeam::platform::operator_json_format Format;
  chivebeam::command_list ExtraCommands;
  ExtraCommands.push_back(std::make_unique<chivebeam::check_command>(Format));
  ExtraCommands.push_back(
      std::make_unique<chivebeam::platform::sidecar_command>());
  return chivebeam::runCommandLine(Count, Arguments, std::move(ExtraCommands));
}
