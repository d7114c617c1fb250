#include "wire/call_wire.h"

#include <algorithm>
#include <cmath>

#include "wire/relative_time.h"
#include "wire/wire_convert.h"

namespace chivebeam {

namespace {

unsigned toCount(std::int32_t Number) {
  return static_cast<unsigned>(std::max(Number, 0));
}

/// Bounds a duration that another node sent.
microseconds toDuration(std::int64_t Micros) {
  return std::clamp(microseconds(Micros), microseconds(0), MaxRemainingTime);
}

std::vector<wire::header_field> toWire(const header_list &Fields) {
  std::vector<wire::header_field> Out(Fields.size());
  for (std::size_t Index = 0; Index < Fields.size(); ++Index) {
    Out[Index].name = Fields[Index].Name;
    Out[Index].text = Fields[Index].Text;
  }
  return Out;
}

header_list fromWire(std::vector<wire::header_field> &In) {
  header_list Fields;
  Fields.reserve(In.size());
  for (wire::header_field &Field : In)
    Fields.push_back({std::move(Field.name), std::move(Field.text)});
  return Fields;
}

std::map<std::int32_t, std::int32_t> toWire(const refusal_ratios &Ratios) {
  std::map<std::int32_t, std::int32_t> Out;
  for (const refusal_ratio &Ratio : Ratios)
    Out[static_cast<std::int32_t>(Ratio.Urgency)] =
        static_cast<std::int32_t>(Ratio.Permille);
  return Out;
}

/// Passes over urgencies that no call can have.
refusal_ratios fromWire(const std::map<std::int32_t, std::int32_t> &In) {
  refusal_ratios Ratios;
  for (const auto &[Urgency, Permille] : In)
    if (Urgency >= 0)
      Ratios.push_back({toCount(Urgency), toCount(Permille)});
  return Ratios;
}

wire::home_load toWire(const home_load &Load) {
  wire::home_load Out;
  Out.running = static_cast<std::int32_t>(Load.Running);
  Out.waiting = static_cast<std::int32_t>(Load.Waiting);
  Out.limit = static_cast<std::int32_t>(Load.Limit);
  Out.service_time_us = Load.ServiceTime.count();
  Out.failed_permille = static_cast<std::int32_t>(Load.FailedPermille);
  Out.refused = toWire(Load.Refused);
  Out.downstream = toWire(Load.Downstream);
  Out.repeats_below_permille =
      static_cast<std::int32_t>(Load.DownstreamRetryBudgetPermille);
  if (Load.StartInterval.count() > 0) {
    Out.__set_start_interval_us(Load.StartInterval.count());
    Out.__set_start_wait_us(Load.StartWait.count());
  }
  return Out;
}

home_load fromWire(const wire::home_load &In) {
  home_load Load;
  Load.Running = toCount(In.running);
  Load.Waiting = toCount(In.waiting);
  Load.Limit = toCount(In.limit);
  Load.ServiceTime = toDuration(In.service_time_us);
  Load.FailedPermille = toCount(In.failed_permille);
  Load.Refused = fromWire(In.refused);
  Load.Downstream = fromWire(In.downstream);
  Load.DownstreamRetryBudgetPermille = toCount(In.repeats_below_permille);
  Load.StartInterval = toDuration(In.start_interval_us);
  Load.StartWait = toDuration(In.start_wait_us);
  return Load;
}

} // namespace

wire::call_request toWire(const mesh_call &Call, instant Now) {
  wire::call_request Out;
  Out.id = Call.Id.str();
  Out.service_name = Call.Service.str();
  Out.route = Call.Route.str();
  Out.worker = Call.Worker.str();
  Out.method = Call.Method;
  Out.target = Call.Target;
  Out.fields = toWire(Call.Fields);
  Out.time_left_us = microsecondsUntil(Call.Deadline, Now);
  Out.goal_left_us = microsecondsUntil(Call.Goal, Now);
  Out.urgency = static_cast<std::int32_t>(Call.Urgency);
  Out.idempotent = Call.Idempotent;
  Out.nested = Call.Nested;
  Out.repeat = Call.IsRetry;
  Out.unasked = static_cast<std::int32_t>(Call.RefusedAtEntry);
  Out.usual_us = Call.UsualDuration.count();
  Out.offered_bytes = static_cast<std::int64_t>(Call.OfferedBytes);
  Out.fingerprint = static_cast<std::int64_t>(Call.Fingerprint.value());
  if (Call.KnownRateLimit)
    Out.__set_rate_limit(Call.KnownRateLimit->PerSecond);
  if (!Call.Workspace.empty())
    Out.__set_workspace(Call.Workspace.str());
  if (Call.WorkspacePriority > 0)
    Out.__set_workspace_priority(
        static_cast<std::int32_t>(Call.WorkspacePriority));
  if (Call.OnlyIfFree)
    Out.__set_only_if_free(true);
  return Out;
}

mesh_call fromWire(wire::call_request &In, std::string Body, instant Now) {
  mesh_call Call;
  Call.Id = request_id(std::move(In.id));
  Call.Service = service_name(std::move(In.service_name));
  Call.Route = route_name(std::move(In.route));
  Call.Worker = worker_id(std::move(In.worker));
  Call.Method = std::move(In.method);
  Call.Target = std::move(In.target);
  Call.Fields = fromWire(In.fields);
  Call.Body = std::make_shared<const std::string>(std::move(Body));
  Call.Deadline = timeAfter(In.time_left_us, Now);
  Call.Goal = timeAfter(In.goal_left_us, Now);
  Call.Urgency = toCount(In.urgency);
  Call.Idempotent = In.idempotent;
  Call.Nested = In.nested;
  Call.IsRetry = In.repeat;
  Call.RefusedAtEntry = toCount(In.unasked);
  Call.UsualDuration = toDuration(In.usual_us);
  Call.OfferedBytes =
      static_cast<std::uint64_t>(std::max<std::int64_t>(In.offered_bytes, 0));
  Call.Fingerprint =
      call_fingerprint(static_cast<std::uint64_t>(In.fingerprint));
  if (In.__isset.rate_limit && In.rate_limit >= 0 &&
      std::isfinite(In.rate_limit))
    Call.KnownRateLimit = call_rate{In.rate_limit};
  if (In.__isset.workspace)
    Call.Workspace = workspace_name(std::move(In.workspace));
  if (In.__isset.workspace_priority)
    Call.WorkspacePriority = toCount(In.workspace_priority);
  Call.OnlyIfFree = In.__isset.only_if_free && In.only_if_free;
  return Call;
}

wire::call_answer toWire(const mesh_answer &Answer) {
  wire::call_answer Out;
  Out.outcome = static_cast<std::int32_t>(Answer.Outcome);
  Out.status = static_cast<std::int32_t>(Answer.Status);
  Out.fields = toWire(Answer.Fields);
  Out.load = toWire(Answer.Load);
  Out.wait_us = Answer.RetryAfter.count();
  Out.reason = Answer.Reason;
  Out.ran_us = Answer.RunTime.count();
  if (Answer.EndedServer)
    Out.__set_ended_born_ms(Answer.EndedServer->StartedAtMs);
  if (Answer.BeyondShare)
    Out.__set_beyond_share(true);
  if (Answer.NoFreeSlot)
    Out.__set_no_free_slot(true);
  return Out;
}

mesh_answer fromWire(wire::call_answer &In, std::string Body) {
  mesh_answer Answer;
  // An outcome that this version does not know gives no information about the
  // call, so the call counts as lost.
  bool Known = In.outcome >= 0 &&
               In.outcome <= static_cast<std::int32_t>(attempt_outcome::lost);
  Answer.Outcome =
      Known ? static_cast<attempt_outcome>(In.outcome) : attempt_outcome::lost;
  Answer.Status = toCount(In.status);
  Answer.Fields = fromWire(In.fields);
  Answer.Body = std::make_shared<const std::string>(std::move(Body));
  Answer.Load = fromWire(In.load);
  Answer.RetryAfter = toDuration(In.wait_us);
  Answer.Reason = std::move(In.reason);
  Answer.RunTime = toDuration(In.ran_us);
  if (In.__isset.ended_born_ms)
    Answer.EndedServer = worker_start{worker_id(), In.ended_born_ms};
  Answer.BeyondShare = In.__isset.beyond_share && In.beyond_share;
  Answer.NoFreeSlot = In.__isset.no_free_slot && In.no_free_slot;
  return Answer;
}

} // namespace chivebeam
