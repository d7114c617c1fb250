#include "store/verdict_record.h"

#include "base/object_reader.h"

namespace chivebeam {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxSteps = 1'000'000'000;

} // namespace

std::string writeVerdict(const move_progress &Progress, instant RecordedAt) {
  bool Done = Progress.Phase == move_phase::deciding;
  json::object Out;
  Out["move"] = Progress.Id.str();
  Out["verdict"] =
      toString(Done ? move_verdict::done : move_verdict::taken_back);
  Out["reason"] = Progress.Reason.empty() ? "no reason given" : Progress.Reason;
  Out["to"] = Progress.To.str();
  Out["share"] = Progress.Share;
  Out["steps_back"] = Progress.StepsBack;
  Out["step"] = Progress.Step;
  Out["step_since"] = formatTime(Progress.StepSince);
  Out["decided_at"] = formatTime(Progress.DecidedAt);
  Out["recorded_at"] = formatTime(RecordedAt);
  return json::serialize(Out);
}

checked<move_progress> readVerdict(std::string_view Text) {
  checked<json::value> Document = parseJson(Text);
  if (!Document)
    return tl::unexpected(Document.error());
  error_list Errors;
  object_reader Reader(*Document, "", Errors);
  move_progress Progress;
  Progress.Id = move_id(Reader.text("move"));
  std::string Verdict = Reader.text("verdict");
  bool Done = Verdict == toString(move_verdict::done);
  Progress.Recorded = Done ? move_verdict::done : move_verdict::taken_back;
  Progress.Phase = Done ? move_phase::deciding : move_phase::taken_back;
  Progress.Reason = Reader.text("reason");
  if (const json::value *To = Reader.find("to"); To && To->is_string())
    Progress.To = version_name(std::string(To->get_string()));
  Progress.Share =
      static_cast<unsigned>(Reader.integer("share", 0, FullShare, 0));
  Progress.StepsBack =
      static_cast<unsigned>(Reader.integer("steps_back", 0, MaxSteps, 0));
  Progress.Step = static_cast<unsigned>(Reader.integer("step", 0, MaxSteps));
  Progress.StepSince = Reader.time("step_since");
  Progress.DecidedAt = Reader.time("decided_at");
  Reader.time("recorded_at");
  Reader.finish();
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Progress;
}

} // namespace chivebeam
