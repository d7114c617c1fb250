#include "commands/moves_command.h"

#include <iostream>

#include "base/object_reader.h"
#include "commands/command_tools.h"
#include "commands/share_chart.h"
#include "config/compiler.h"
#include "sessions/move_json.h"
#include "store/verdict_record.h"

namespace chivebeam {

namespace json = boost::json;

namespace {

struct move_summary {
  move_id Id;
  move_verdict Verdict = move_verdict::none;
  std::string Reason;
  std::string DecidedAt;
  std::string Deadline;
  std::vector<timeline_point> Shares; ///< filled only when one move is shown
};

json::array toJson(const std::vector<timeline_point> &Points) {
  json::array Out;
  for (const timeline_point &Point : Points) {
    json::object Item;
    Item["at"] = formatTime(Point.At);
    Item["share"] = Point.Share;
    Item["phase"] = toString(Point.Phase);
    Item["reason"] = Point.Reason;
    Out.push_back(std::move(Item));
  }
  return Out;
}

std::string_view displayName(move_verdict Verdict) {
  if (Verdict == move_verdict::done)
    return "done";
  return Verdict == move_verdict::taken_back ? "taken back" : "moving";
}

void addVerdicts(const range_answer &Verdicts,
                 std::map<move_id, move_summary> &Summaries) {
  for (const store_entry &Entry : Verdicts.Entries) {
    checked<move_progress> Progress = readVerdict(Entry.Value);
    if (!Progress)
      continue;
    move_summary &Summary = Summaries[Progress->Id];
    Summary.Id = Progress->Id;
    Summary.Verdict = Progress->Recorded;
    Summary.Reason = Progress->Reason;
    Summary.DecidedAt = formatTime(Progress->DecidedAt);
  }
}

void addPlannedMoves(const range_answer &Newest,
                     std::map<move_id, move_summary> &Summaries) {
  if (Newest.Entries.empty())
    return;
  checked<snapshot_ptr> Config =
      readSource(Newest.Entries.front().Value).and_then(compile);
  if (!Config)
    return;
  for (const move_rule &Rule : (*Config)->moves()) {
    move_summary &Summary = Summaries[Rule.Id];
    Summary.Id = Rule.Id;
    Summary.Deadline = formatTime(Rule.Deadline);
  }
}

void print(const move_summary &Summary, bool Json) {
  if (!Json) {
    std::cout << Summary.Id << ": " << displayName(Summary.Verdict);
    if (!Summary.DecidedAt.empty())
      std::cout << " at " << Summary.DecidedAt << ": " << Summary.Reason;
    else
      std::cout << ", verdict by " << Summary.Deadline;
    std::cout << '\n' << drawShares(Summary.Shares);
    return;
  }
  json::object Out;
  Out["id"] = Summary.Id.str();
  Out["verdict"] = displayName(Summary.Verdict);
  Out["decided_at"] = Summary.DecidedAt;
  Out["reason"] = Summary.Reason;
  Out["by"] = Summary.Deadline;
  Out["shares"] = toJson(Summary.Shares);
  std::cout << json::serialize(Out) << '\n';
}

} // namespace

void moves_command::addOptions(option_list &Options) const {
  addStoreOptions(Options);
}

exit_code moves_command::run(const option_values &Values,
                             const std::vector<std::string> &Arguments) const {
  if (Arguments.size() > 1)
    return usageError(*this, "takes at most one move ID");
  std::optional<store_access> Access = openStore(*this, Values);
  if (!Access)
    return exit_code::usage;
  result<range_answer> Verdicts = Access->read(Access->keys().verdicts(), true);
  if (!Verdicts)
    return storeError(Verdicts.error());
  result<range_answer> Newest = Access->readNewestSource();
  if (!Newest)
    return storeError(Newest.error());
  std::map<move_id, move_summary> Summaries;
  addVerdicts(*Verdicts, Summaries);
  addPlannedMoves(*Newest, Summaries);
  if (Arguments.empty()) {
    for (const auto &[Id, Summary] : Summaries)
      print(Summary, wantsJson(Values));
    return exit_code::done;
  }
  auto Found = Summaries.find(move_id(Arguments.front()));
  if (Found == Summaries.end()) {
    std::cerr << "no move has the ID \"" << Arguments.front()
              << "\"; list them with chivebeam moves\n";
    return exit_code::check_failed;
  }
  result<range_answer> Journal =
      Access->read(Access->keys().journal(Found->first), false);
  if (!Journal)
    return storeError(Journal.error());
  if (!Journal->Entries.empty())
    Found->second.Shares = readTimeline(Journal->Entries.front().Value);
  print(Found->second, wantsJson(Values));
  return Found->second.Verdict == move_verdict::taken_back
             ? exit_code::check_failed
             : exit_code::done;
}

} // namespace chivebeam
