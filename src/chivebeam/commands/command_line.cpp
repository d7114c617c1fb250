#include <algorithm>
#include <iostream>
#include <iterator>

#include "commands/history_command.h"
#include "commands/moves_command.h"
#include "commands/node_command.h"
#include "commands/publish_command.h"
#include "commands/replay_command.h"
#include "commands/status_command.h"

namespace chivebeam {

namespace options = boost::program_options;

namespace {

void printOverview(const command_list &Commands, std::ostream &Out) {
  Out << "chivebeam distributes service-mesh configuration and moves traffic "
         "between versions.\n\nusage: chivebeam COMMAND [options]\n\n";
  for (const auto &Command : Commands) {
    std::string Name(Command->name());
    Name.resize(10, ' ');
    Out << "  " << Name << Command->summary() << '\n';
  }
  Out << "\n  --help     show this text, or a command's options after it\n"
         "  --version  show the version\n\n"
         "exit codes: 0 success, 1 check failed, 2 usage error, 3 store "
         "unreachable, 4 another publication was first\n";
}

int runCommand(const command &Command, const std::vector<std::string> &Given) {
  options::options_description Visible("options");
  Visible.add_options()("help", "show this text");
  Command.addOptions(Visible);
  options::options_description All;
  All.add(Visible);
  All.add_options()("words", options::value<std::vector<std::string>>());
  options::positional_options_description Positional;
  Positional.add("words", -1);
  options::variables_map Values;
  options::store(options::command_line_parser(Given)
                     .options(All)
                     .positional(Positional)
                     .run(),
                 Values);
  if (Values.count("help") > 0) {
    std::cout << "usage: chivebeam " << Command.name() << " [options] "
              << Command.arguments() << "\n\n"
              << Command.summary() << "\n\n"
              << Visible;
    return 0;
  }
  options::notify(Values);
  std::vector<std::string> Arguments;
  if (Values.count("words") > 0)
    Arguments = Values["words"].as<std::vector<std::string>>();
  return static_cast<int>(Command.run(Values, Arguments));
}

} // namespace

command_list allCommands() {
  command_list Commands;
  Commands.push_back(std::make_unique<node_command>());
  Commands.push_back(std::make_unique<publish_command>());
  Commands.push_back(std::make_unique<moves_command>());
  Commands.push_back(std::make_unique<history_command>());
  Commands.push_back(std::make_unique<replay_command>());
  Commands.push_back(std::make_unique<status_command>());
  return Commands;
}

int runCommandLine(int Count, char **Arguments, command_list ExtraCommands) {
  std::vector<std::string> Given(Arguments + 1, Arguments + Count);
  command_list Commands = allCommands();
  std::move(ExtraCommands.begin(), ExtraCommands.end(),
            std::back_inserter(Commands));
  if (Given.empty() || Given.front() == "--help") {
    printOverview(Commands, Given.empty() ? std::cerr : std::cout);
    return static_cast<int>(Given.empty() ? exit_code::usage : exit_code::done);
  }
  if (Given.front() == "--version") {
    std::cout << "chivebeam " << CHIVEBEAM_VERSION << '\n';
    return 0;
  }
  for (const auto &Command : Commands) {
    if (Command->name() != Given.front())
      continue;
    try {
      return runCommand(*Command, {Given.begin() + 1, Given.end()});
    } catch (const options::error &Problem) {
      std::cerr << "chivebeam " << Command->name() << ": " << Problem.what()
                << "; see chivebeam " << Command->name() << " --help\n";
      return static_cast<int>(exit_code::usage);
    }
  }
  std::cerr << "chivebeam: unknown command \"" << Given.front()
            << "\"; see chivebeam --help\n";
  return static_cast<int>(exit_code::usage);
}

} // namespace chivebeam
