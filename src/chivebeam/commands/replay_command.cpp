#include "commands/replay_command.h"

#include <iostream>
#include <sstream>

#include "commands/command_tools.h"
#include "moves/sequential_evaluator.h"
#include "sessions/move_journal.h"
#include "sessions/session_player.h"

namespace chivebeam {

namespace options = boost::program_options;

namespace {

exit_code report(const checked<replay_report> &Report) {
  if (!Report) {
    printErrors(Report.error());
    return exit_code::check_failed;
  }
  if (Report->Steps == 0) {
    std::cerr
        << "the file contains no recorded steps; give a move journal or a "
           "recorded session\n";
    return exit_code::check_failed;
  }
  if (Report->Differences.empty()) {
    std::cout << "replayed " << Report->Steps
              << " steps; every decision matches the recording";
    if (Report->DroppedLines > 0)
      std::cout << "; " << Report->DroppedLines
                << " lines were dropped to limit the size of the journal";
    std::cout << '\n';
    return exit_code::done;
  }
  const replay_difference &First = Report->Differences.front();
  std::cout << Report->Differences.size() << " of " << Report->Steps
            << " steps differ; the first at line " << First.Line
            << "\nrecorded " << First.Recorded << "\ndecided  " << First.Decided
            << "\ninputs   " << First.Inputs << '\n';
  return exit_code::check_failed;
}

/// Prints the first line in which the two texts differ.
void printFirstDifference(const std::string &Recorded,
                          const std::string &Decided) {
  std::istringstream Left(Recorded);
  std::istringstream Right(Decided);
  std::string LeftLine;
  std::string RightLine;
  std::size_t Number = 0;
  do {
    LeftLine.clear();
    RightLine.clear();
    std::getline(Left, LeftLine);
    std::getline(Right, RightLine);
    ++Number;
  } while (LeftLine == RightLine && (Left || Right));
  std::cout << "the session differs at line " << Number << "\nrecorded "
            << LeftLine << "\ndecided  " << RightLine << '\n';
}

exit_code replaySession(const std::string &Text, const move_decider &Decider,
                        bool PrintAll) {
  checked<std::string> Played = session_player(Decider).play(Text);
  if (!Played) {
    printErrors(Played.error());
    return exit_code::check_failed;
  }
  if (PrintAll) {
    std::cout << *Played;
    return exit_code::done;
  }
  if (*Played == Text) {
    std::cout << "replayed the session; every decision matches the recording\n";
    return exit_code::done;
  }
  printFirstDifference(Text, *Played);
  return exit_code::check_failed;
}

exit_code replayFile(const std::string &Path, const move_decider &Decider,
                     bool PrintAll) {
  result<std::string> Text = readFile(Path);
  if (!Text) {
    printErrors({Text.error()});
    return exit_code::check_failed;
  }
  if (isSession(*Text))
    return replaySession(*Text, Decider, PrintAll);
  return report(replayJournal(*Text, Decider));
}

} // namespace

void replay_command::addOptions(option_list &Options) const {
  auto Add = Options.add_options();
  Add("print", options::bool_switch(),
      "print the session with the decisions of this version instead of "
      "comparing them");
  Add("move", options::value<std::string>(),
      "replay the stored journal of this move");
  Add("store", options::value<std::string>(),
      "ip:port of the platform's key-value service (with --move)");
  Add("fleet", options::value<std::string>(),
      "name of the fleet (with --move)");
}

exit_code replay_command::run(const option_values &Values,
                              const std::vector<std::string> &Arguments) const {
  sequential_evaluator Evaluator;
  move_decider Decider(Evaluator);
  if (Arguments.size() == 1 && Values.count("move") == 0)
    return replayFile(Arguments.front(), Decider, Values["print"].as<bool>());
  if (!Arguments.empty() || Values.count("move") == 0 ||
      Values.count("store") == 0 || Values.count("fleet") == 0)
    return usageError(*this,
                      "expects a file, or --move with --store and --fleet");
  std::optional<store_access> Access = openStore(*this, Values);
  if (!Access)
    return exit_code::usage;
  move_id Move(Values["move"].as<std::string>());
  result<range_answer> Journal =
      Access->read(Access->keys().journal(Move), false);
  if (!Journal)
    return storeError(Journal.error());
  if (Journal->Entries.empty()) {
    std::cerr << "the store has no journal of move \"" << Move
              << "\"; a journal is stored together with the verdict\n";
    return exit_code::check_failed;
  }
  return report(replayJournal(Journal->Entries.front().Value, Decider));
}

} // namespace chivebeam
