#include "sessions/move_json.h"

#include <limits>

#include "base/object_reader.h"

namespace chivebeam {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxNumber = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t MaxCount = 1'000'000'000;

/// Times are written in microseconds, so that no precision is lost.
std::int64_t micros(instant Time) { return Time.time_since_epoch().count(); }

instant readMicros(object_reader &Reader, std::string_view Key) {
  return instant(microseconds(Reader.integer(Key, 0, MaxNumber)));
}

json::object toJson(const evidence_by_route &Routes) {
  json::object Out;
  for (const auto &[Route, Evidence] : Routes) {
    json::array Latency;
    const auto &Buckets = Evidence.Latency.buckets();
    for (std::size_t Index = 0; Index < Buckets.size(); ++Index)
      if (Buckets[Index] > 0)
        Latency.push_back(json::array{Index, Buckets[Index]});
    json::object Item;
    Item["calls"] = Evidence.Calls;
    Item["failures"] = Evidence.Failures;
    Item["latency"] = std::move(Latency);
    Out[Route.str()] = std::move(Item);
  }
  return Out;
}

void readBucket(const json::value &Pair, const std::string &Path,
                latency_histogram &Latency, error_list &Errors) {
  const json::array *Numbers = Pair.if_array();
  bool Valid = Numbers && Numbers->size() == 2 && (*Numbers)[0].is_int64() &&
               (*Numbers)[1].is_int64();
  std::int64_t Index = Valid ? (*Numbers)[0].get_int64() : -1;
  if (Index < 0 ||
      Index >= static_cast<std::int64_t>(latency_histogram::BucketCount)) {
    Errors.push_back({error_kind::invalid_input, Path,
                      "is not a valid histogram bucket",
                      "write [index, count] with an index of the histogram"});
    return;
  }
  Latency.buckets()[static_cast<std::size_t>(Index)] =
      static_cast<std::uint64_t>((*Numbers)[1].get_int64());
}

route_evidence readEvidence(const json::value &Value, std::string Path,
                            error_list &Errors) {
  object_reader Reader(Value, std::move(Path), Errors);
  route_evidence Evidence;
  Evidence.Calls =
      static_cast<std::uint64_t>(Reader.integer("calls", 0, MaxNumber));
  Evidence.Failures =
      static_cast<std::uint64_t>(Reader.integer("failures", 0, MaxNumber));
  Reader.forEach("latency", true,
                 [&](const json::value &Pair, std::string PairPath) {
                   readBucket(Pair, PairPath, Evidence.Latency, Errors);
                 });
  Reader.finish();
  return Evidence;
}

evidence_by_route readRoutes(const json::value *Value, std::string Path,
                             error_list &Errors) {
  evidence_by_route Routes;
  if (!Value || !Value->is_object()) {
    Errors.push_back({error_kind::invalid_input, Path, "missing",
                      "add an object with one field for each route"});
    return Routes;
  }
  for (const json::key_value_pair &Field : Value->get_object()) {
    std::string Name(Field.key());
    std::string FieldPath = Path;
    FieldPath.append("/").append(Name);
    Routes[route_name(Name)] = readEvidence(Field.value(), FieldPath, Errors);
  }
  return Routes;
}

json::object toJson(const evidence_window &Window) {
  json::object Out;
  Out["old"] = toJson(Window.Old);
  Out["new"] = toJson(Window.New);
  return Out;
}

evidence_window readWindow(const json::value *Value, std::string Path,
                           error_list &Errors) {
  static const json::value Null;
  object_reader Reader(Value ? *Value : Null, Path, Errors);
  evidence_window Window;
  Window.Old = readRoutes(Reader.find("old"), Path + "/old", Errors);
  Window.New = readRoutes(Reader.find("new"), Path + "/new", Errors);
  Reader.finish();
  return Window;
}

unsigned readCount(object_reader &Reader, std::string_view Key) {
  return static_cast<unsigned>(Reader.integer(Key, 0, MaxCount));
}

} // namespace

json::object toJson(const move_rule &Rule) {
  json::object Out;
  Out["id"] = Rule.Id.str();
  Out["service"] = Rule.Service.str();
  Out["from"] = Rule.From.str();
  Out["to"] = Rule.To.str();
  Out["start"] = formatTime(Rule.Start);
  Out["by"] = formatTime(Rule.Deadline);
  if (Rule.Brief)
    Out["brief"] = true;
  return Out;
}

json::object toJson(const move_progress &Progress) {
  json::object Out;
  Out["id"] = Progress.Id.str();
  Out["phase"] = toString(Progress.Phase);
  Out["step"] = Progress.Step;
  Out["step_since_us"] = micros(Progress.StepSince);
  Out["decided_at_us"] = micros(Progress.DecidedAt);
  Out["reason"] = Progress.Reason;
  Out["recorded"] = toString(Progress.Recorded);
  Out["to"] = Progress.To.str();
  Out["share"] = Progress.Share;
  Out["steps_back"] = Progress.StepsBack;
  return Out;
}

json::object toJson(const move_observation &Observation) {
  const move_evidence &Evidence = Observation.Evidence;
  json::array Earlier;
  for (const evidence_window &Window : Evidence.Earlier)
    Earlier.push_back(toJson(Window));
  json::object Out;
  Out["earlier"] = std::move(Earlier);
  Out["since_step"] = toJson(Evidence.SinceStep);
  Out["recent"] = toJson(Evidence.Recent);
  Out["worst_old"] = toJson(Evidence.WorstOldInterval);
  Out["uncompared"] = Evidence.Uncompared;
  Out["suspected"] = Evidence.Suspected;
  Out["calls_per_minute"] = Observation.CallsPerMinute;
  Out["mean_duration_us"] = Observation.MeanDuration.count();
  Out["traffic_known"] = Observation.TrafficKnown;
  Out["old_workers"] = Observation.OldWorkers;
  Out["new_workers"] = Observation.NewWorkers;
  Out["new_slots"] = Observation.NewSlots;
  Out["new_reporters"] = Observation.NewReporters;
  Out["wanted_workers"] = Observation.WantedWorkers;
  Out["short_since_us"] = micros(Observation.TooFewWorkersSince);
  return Out;
}

move_progress progressFromJson(const json::value &Value, std::string Path,
                               error_list &Errors) {
  object_reader Reader(Value, std::move(Path), Errors);
  move_progress Progress;
  Progress.Id = move_id(Reader.text("id"));
  std::string Phase = Reader.text("phase");
  for (move_phase Known :
       {move_phase::stepping, move_phase::deciding, move_phase::taken_back})
    if (Phase == toString(Known))
      Progress.Phase = Known;
  Progress.Step = static_cast<unsigned>(Reader.integer("step", 0, MaxCount));
  Progress.StepSince = readMicros(Reader, "step_since_us");
  Progress.DecidedAt = readMicros(Reader, "decided_at_us");
  if (const json::value *Reason = Reader.find("reason");
      Reason && Reason->is_string())
    Progress.Reason = std::string(Reason->get_string());
  if (const json::value *To = Reader.find("to"); To && To->is_string())
    Progress.To = version_name(std::string(To->get_string()));
  Progress.Share =
      static_cast<unsigned>(Reader.integer("share", 0, FullShare, 0));
  Progress.StepsBack =
      static_cast<unsigned>(Reader.integer("steps_back", 0, MaxCount, 0));
  std::string Recorded = Reader.text("recorded");
  for (move_verdict Known :
       {move_verdict::none, move_verdict::done, move_verdict::taken_back})
    if (Recorded == toString(Known))
      Progress.Recorded = Known;
  Reader.finish();
  return Progress;
}

move_observation observationFromJson(const json::value &Value, std::string Path,
                                     error_list &Errors) {
  object_reader Reader(Value, Path, Errors);
  move_observation Observation;
  move_evidence &Evidence = Observation.Evidence;
  Reader.forEach("earlier", true,
                 [&](const json::value &Item, std::string ItemPath) {
                   Evidence.Earlier.push_back(
                       readWindow(&Item, std::move(ItemPath), Errors));
                 });
  Evidence.SinceStep =
      readWindow(Reader.find("since_step"), Path + "/since_step", Errors);
  Evidence.Recent = readWindow(Reader.find("recent"), Path + "/recent", Errors);
  Evidence.WorstOldInterval =
      readRoutes(Reader.find("worst_old"), Path + "/worst_old", Errors);
  Evidence.Uncompared = Reader.flagOr("uncompared", false);
  Evidence.Suspected = Reader.flagOr("suspected", false);
  Observation.CallsPerMinute = static_cast<std::uint64_t>(
      Reader.integer("calls_per_minute", 0, MaxNumber));
  Observation.MeanDuration =
      microseconds(Reader.integer("mean_duration_us", 0, MaxNumber));
  Observation.TrafficKnown = Reader.flagOr("traffic_known", false);
  Observation.OldWorkers = readCount(Reader, "old_workers");
  Observation.NewWorkers = readCount(Reader, "new_workers");
  Observation.NewSlots = readCount(Reader, "new_slots");
  Observation.NewReporters = readCount(Reader, "new_reporters");
  Observation.WantedWorkers = readCount(Reader, "wanted_workers");
  Observation.TooFewWorkersSince = readMicros(Reader, "short_since_us");
  Reader.finish();
  return Observation;
}

} // namespace chivebeam
