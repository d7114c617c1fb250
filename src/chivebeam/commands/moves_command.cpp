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

struct move_line {
  move_id Id;
  move_verdict Verdict = move_verdict::none;
  std::string Reason;
  std::string DecidedAt;
  std::string Deadline;
  std::vector<timeline_point> Shares; ///< read for a single move only
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

std::string_view plainVerdict(move_verdict Verdict) {
  if (Verdict == move_verdict::done)
    return "done";
  return Verdict == move_verdict::taken_back ? "taken back" : "moving";
}

void addVerdicts(const range_answer &Verdicts,
                 std::map<move_id, move_line> &Lines) {
  for (const store_entry &Entry : Verdicts.Entries) {
    checked<move_progress> Progress = readVerdict(Entry.Value);
    if (!Progress)
      continue;
    move_line &Line = Lines[Progress->Id];
    Line.Id = Progress->Id;
    Line.Verdict = Progress->Recorded;
    Line.Reason = Progress->Reason;
    Line.DecidedAt = formatTime(Progress->DecidedAt);
  }
}

void addPlanned(const range_answer &Head, std::map<move_id, move_line> &Lines) {
  if (Head.Entries.empty())
    return;
  checked<snapshot_ptr> Config =
      readSource(Head.Entries.front().Value).and_then(compile);
  if (!Config)
    return;
  for (const move_rule &Rule : (*Config)->moves()) {
    move_line &Line = Lines[Rule.Id];
    Line.Id = Rule.Id;
    Line.Deadline = formatTime(Rule.Deadline);
  }
}

void print(const move_line &Line, bool Json) {
  if (!Json) {
    std::cout << Line.Id << ": " << plainVerdict(Line.Verdict);
    if (!Line.DecidedAt.empty())
      std::cout << " at " << Line.DecidedAt << ": " << Line.Reason;
    else
      std::cout << ", verdict by " << Line.Deadline;
    std::cout << '\n' << drawShares(Line.Shares);
    return;
  }
  json::object Out;
  Out["id"] = Line.Id.str();
  Out["verdict"] = plainVerdict(Line.Verdict);
  Out["decided_at"] = Line.DecidedAt;
  Out["reason"] = Line.Reason;
  Out["by"] = Line.Deadline;
  Out["shares"] = toJson(Line.Shares);
  std::cout << json::serialize(Out) << '\n';
}

} // namespace

void moves_command::addOptions(option_list &Options) const {
  addStoreOptions(Options);
}

exit_code moves_command::run(const option_values &Values,
                             const std::vector<std::string> &Words) const {
  if (Words.size() > 1)
    return usageError(*this, "takes at most one move");
  std::optional<store_access> Access = openStore(*this, Values);
  if (!Access)
    return exit_code::usage;
  result<range_answer> Verdicts = Access->read(Access->keys().verdicts(), true);
  if (!Verdicts)
    return storeError(Verdicts.error());
  result<range_answer> Head = Access->readNewestSource();
  if (!Head)
    return storeError(Head.error());
  std::map<move_id, move_line> Lines;
  addVerdicts(*Verdicts, Lines);
  addPlanned(*Head, Lines);
  if (Words.empty()) {
    for (const auto &[Id, Line] : Lines)
      print(Line, wantsJson(Values));
    return exit_code::done;
  }
  auto Found = Lines.find(move_id(Words.front()));
  if (Found == Lines.end()) {
    std::cerr << "no move is named \"" << Words.front()
              << "\"; list them with chivebeam moves\n";
    return exit_code::does_not_hold;
  }
  result<range_answer> Journal =
      Access->read(Access->keys().journal(Found->first), false);
  if (!Journal)
    return storeError(Journal.error());
  if (!Journal->Entries.empty())
    Found->second.Shares = readTimeline(Journal->Entries.front().Value);
  print(Found->second, wantsJson(Values));
  return Found->second.Verdict == move_verdict::taken_back
             ? exit_code::does_not_hold
             : exit_code::done;
}

} // namespace chivebeam
