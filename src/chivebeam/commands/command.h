#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/program_options.hpp>

namespace chivebeam {

/// Exit codes that operators' scripts rely on.
enum class exit_code {
  done = 0,
  check_failed = 1, ///< invalid, replay differs, or taken back
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
  /// Returns the words after the options, such as "REGISTER RULES".
  virtual std::string_view arguments() const = 0;
  virtual void addOptions(option_list &Options) const = 0;
  /// Runs with the checked options and the words that were given.
  virtual exit_code run(const option_values &Values,
                        const std::vector<std::string> &Arguments) const = 0;
};

using command_list = std::vector<std::unique_ptr<command>>;

/// Returns every subcommand of the product itself.
command_list allCommands();

/// Parses the command line, runs what it names and returns the exit status.
/// Further holds subcommands beside the product's own.
int runCommandLine(int Count, char **Arguments,
                   command_list ExtraCommands = {});

} // namespace chivebeam
