#include "commands/command.h"
#include "platform/sidecar_command.h"

int main(int Count, char **Arguments) {
  chivebeam::command_list ExtraCommands;
  ExtraCommands.push_back(
      std::make_unique<chivebeam::platform::sidecar_command>());
  return chivebeam::runCommandLine(Count, Arguments, std::move(ExtraCommands));
}
