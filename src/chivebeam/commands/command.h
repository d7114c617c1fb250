#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/program_options.hpp>

namespace chivebeam {

/// Exit codes. Operators' scripts rely on the numbers.
enum class exit_code {
  done = 0,
  /// Invalid input, a replay that differs, or a move that was taken back.
  check_failed = 1,
  usage = 2,
  store_unreachable = 3,
  lost_race = 4,
};

/// One subcommand of the program.
class command {
public:
  using option_list = boost::program_options::options_description;
  using option_values = boost::program_options::variables_map;

  virtual ~command() = default;
  virtual std::string_view name() const = 0;
  virtual std::string_view summary() const = 0;
  /// Returns the positional arguments for the usage text, such as "REGISTER
  /// RULES".
  virtual std::string_view arguments() const = 0;
  virtual void addOptions(option_list &Options) const = 0;
  /// Runs with the parsed options and the positional arguments.
  virtual exit_code run(const option_values &Values,
                        const std::vector<std::string> &Arguments) const = 0;
};

using command_list = std::vector<std::unique_ptr<command>>;

/// Returns all built-in subcommands. Those that know the users' platform, or
/// its documents, are added by main.
command_list allCommands();

/// Parses the command line, runs the subcommand that it names and returns the
/// exit status. ExtraCommands are added to the built-in subcommands.
int runCommandLine(int Count, char **Arguments,
                   command_list ExtraCommands = {});

} // namespace chivebeam
