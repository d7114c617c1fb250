#include "sessions/move_journal.h"

#include <algorithm>
#include <limits>

#include "base/object_reader.h"
#include "sessions/move_json.h"

namespace chivebeam {

namespace json = boost::json;

namespace {

constexpr std::string_view EntryKind = "move_decision";
constexpr std::string_view ProgressKind = "move_progress";
constexpr std::string_view LinesDroppedKind = "journal_thinned";
constexpr std::int64_t MaxNumber = std::numeric_limits<std::int64_t>::max();

const json::value &fieldOrNull(object_reader &Reader, std::string_view Key) {
  static const json::value Null;
  const json::value *Found = Reader.find(Key);
  return Found ? *Found : Null;
}

void compareStep(const move_journal_entry &Entry, std::size_t Line,
                 const move_decider &Decider, replay_report &Report) {
  std::optional<move_progress> Decided = Decider.decide(
      planMove(Entry.Rule), Entry.Before, Entry.Observation, Entry.At);
  ++Report.Steps;
  move_progress Outcome = Decided.value_or(Entry.Before);
  if (Outcome != Entry.After)
    Report.Differences.push_back({Line, json::serialize(toJson(Entry.After)),
                                  json::serialize(toJson(Outcome)),
                                  json::serialize(toJson(Entry.Observation))});
}

std::string_view eventOf(const json::value &Document) {
  const json::object *Object = Document.if_object();
  const json::value *Kind = Object ? Object->if_contains("event") : nullptr;
  if (!Kind || !Kind->is_string())
    return {};
  return {Kind->get_string().data(), Kind->get_string().size()};
}

std::size_t droppedLines(const json::value &Document) {
  const json::value *Count = Document.get_object().if_contains("dropped_lines");
  return Count && Count->is_int64() && Count->get_int64() > 0
             ? static_cast<std::size_t>(Count->get_int64())
             : 0;
}

template <typename Visitor>
void forEachLine(std::string_view Text, const Visitor &Visit) {
  std::size_t Number = 0;
  while (!Text.empty()) {
    std::size_t End = Text.find('\n');
    std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
    ++Number;
    if (!Line.empty() && !Visit(Number, Line))
      return;
  }
}

timeline_point pointOf(const move_progress &Progress, instant At) {
  bool Back = Progress.Phase == move_phase::taken_back;
  return {At, Progress.Step, Back ? 0 : Progress.Share, Progress.Phase,
          Progress.Reason};
}

std::optional<timeline_point> readPoint(std::string_view Line) {
  checked<json::value> Document = parseJson(Line);
  if (!Document)
    return std::nullopt;
  if (eventOf(*Document) == EntryKind) {
    checked<move_journal_entry> Entry = readJournalEntry(Line);
    if (!Entry)
      return std::nullopt;
    return pointOf(Entry->After, Entry->At);
  }
  if (eventOf(*Document) != ProgressKind)
    return std::nullopt;
  error_list Errors;
  object_reader Reader(*Document, "", Errors);
  Reader.text("event");
  Reader.integer("at_us", 0, MaxNumber);
  move_progress Progress =
      progressFromJson(fieldOrNull(Reader, "progress"), "/progress", Errors);
  if (!Errors.empty())
    return std::nullopt;
  bool Ended = Progress.Phase != move_phase::stepping;
  return pointOf(Progress, Ended ? Progress.DecidedAt : Progress.StepSince);
}

} // namespace

std::string writeJournalEntry(const move_journal_entry &Entry) {
  json::object Out;
  Out["event"] = EntryKind;
  Out["at_us"] = Entry.At.time_since_epoch().count();
  Out["rule"] = toJson(Entry.Rule);
  Out["before"] = toJson(Entry.Before);
  Out["observation"] = toJson(Entry.Observation);
  Out["after"] = toJson(Entry.After);
  return json::serialize(Out);
}

checked<move_journal_entry> readJournalEntry(std::string_view Line) {
  checked<json::value> Document = parseJson(Line);
  if (!Document)
    return tl::unexpected(Document.error());
  error_list Errors;
  object_reader Reader(*Document, "", Errors);
  move_journal_entry Entry;
  Reader.text("event");
  Entry.At = instant(microseconds(Reader.integer("at_us", 0, MaxNumber)));
  Entry.Rule = readMoveRule(fieldOrNull(Reader, "rule"), "/rule", Errors);
  Entry.Before =
      progressFromJson(fieldOrNull(Reader, "before"), "/before", Errors);
  Entry.Observation = observationFromJson(fieldOrNull(Reader, "observation"),
                                          "/observation", Errors);
  Entry.After =
      progressFromJson(fieldOrNull(Reader, "after"), "/after", Errors);
  Reader.finish();
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Entry;
}

std::string writeProgressEntry(const move_progress &Progress, instant SeenAt) {
  json::object Out;
  Out["event"] = ProgressKind;
  Out["at_us"] = SeenAt.time_since_epoch().count();
  Out["progress"] = toJson(Progress);
  return json::serialize(Out);
}

std::vector<timeline_point> readTimeline(std::string_view Text) {
  std::vector<timeline_point> Points;
  forEachLine(Text, [&](std::size_t, std::string_view Line) {
    std::optional<timeline_point> Point = readPoint(Line);
    if (Point && Point->At != instant())
      Points.push_back(std::move(*Point));
    return true;
  });
  std::stable_sort(Points.begin(), Points.end(),
                   [](const timeline_point &Left, const timeline_point &Right) {
                     return Left.At < Right.At;
                   });
  return Points;
}

checked<replay_report> replayJournal(std::string_view Text,
                                     const move_decider &Decider) {
  replay_report Report;
  error_list Errors;
  forEachLine(Text, [&](std::size_t Number, std::string_view Line) {
    checked<json::value> Document = parseJson(Line);
    if (Document && eventOf(*Document) == LinesDroppedKind)
      Report.DroppedLines += droppedLines(*Document);
    if (Document && eventOf(*Document) != EntryKind)
      return true;
    checked<move_journal_entry> Entry = readJournalEntry(Line);
    if (Entry) {
      compareStep(*Entry, Number, Decider, Report);
      return true;
    }
    Errors = Entry.error();
    for (error &Error : Errors)
      Error.Path = "line " + std::to_string(Number) + Error.Path;
    return false;
  });
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Report;
}

} // namespace chivebeam
