#include "wire/wire_convert.h"

#include <algorithm>

namespace chivebeam {

namespace {

std::int64_t toMicros(instant Time) { return Time.time_since_epoch().count(); }

instant fromMicros(std::int64_t Micros) {
  return instant(microseconds(Micros));
}

} // namespace

wire::address toWire(const address &Address) {
  wire::address Out;
  Out.ip = Address.Ip;
  Out.port = Address.Port;
  return Out;
}

address fromWire(const wire::address &In) {
  return {In.ip, static_cast<std::uint16_t>(In.port)};
}

wire::worker_record toWire(const worker_record &Worker) {
  wire::worker_record Out;
  Out.service_name = Worker.Service.str();
  Out.version_name = Worker.Version.str();
  Out.slots = static_cast<std::int32_t>(Worker.Slots);
  Out.state = static_cast<std::int32_t>(Worker.State);
  Out.ready_since_us = toMicros(Worker.ReadySince);
  return Out;
}

worker_record fromWire(const wire::worker_record &In) {
  return {service_name(In.service_name), version_name(In.version_name),
          static_cast<unsigned>(In.slots),
          toEnum(In.state, worker_state::leaving),
          fromMicros(In.ready_since_us)};
}

wire::move_progress toWire(const move_progress &Progress) {
  wire::move_progress Out;
  Out.id = Progress.Id.str();
  Out.phase = static_cast<std::int32_t>(Progress.Phase);
  Out.step = static_cast<std::int32_t>(Progress.Step);
  Out.step_since_us = toMicros(Progress.StepSince);
  Out.decided_at_us = toMicros(Progress.DecidedAt);
  Out.reason = Progress.Reason;
  Out.recorded = static_cast<std::int32_t>(Progress.Recorded);
  Out.__set_to_version(Progress.To.str());
  Out.__set_share(static_cast<std::int32_t>(Progress.Share));
  Out.__set_steps_back(static_cast<std::int32_t>(Progress.StepsBack));
  return Out;
}

move_progress fromWire(const wire::move_progress &In) {
  move_progress Progress;
  Progress.Id = move_id(In.id);
  Progress.Phase = toEnum(In.phase, move_phase::taken_back);
  Progress.Step = static_cast<unsigned>(In.step);
  Progress.StepSince = fromMicros(In.step_since_us);
  Progress.DecidedAt = fromMicros(In.decided_at_us);
  Progress.Reason = In.reason;
  Progress.Recorded = toEnum(In.recorded, move_verdict::taken_back);
  Progress.To = version_name(In.to_version);
  Progress.Share =
      std::min(static_cast<unsigned>(std::max(In.share, 0)), FullShare);
  Progress.StepsBack = static_cast<unsigned>(std::max(In.steps_back, 0));
  return Progress;
}

wire::route_evidence toWire(const route_evidence &Evidence) {
  wire::route_evidence Out;
  Out.calls = static_cast<std::int64_t>(Evidence.Calls);
  Out.failures = static_cast<std::int64_t>(Evidence.Failures);
  const auto &Buckets = Evidence.Latency.buckets();
  for (std::size_t Index = 0; Index < Buckets.size(); ++Index)
    if (Buckets[Index] > 0)
      Out.latency[static_cast<std::int16_t>(Index)] =
          static_cast<std::int64_t>(Buckets[Index]);
  return Out;
}

route_evidence fromWire(const wire::route_evidence &In) {
  route_evidence Evidence;
  Evidence.Calls = static_cast<std::uint64_t>(In.calls);
  Evidence.Failures = static_cast<std::uint64_t>(In.failures);
  auto &Buckets = Evidence.Latency.buckets();
  for (const auto &[Index, Count] : In.latency)
    if (Index >= 0 && static_cast<std::size_t>(Index) < Buckets.size())
      Buckets[static_cast<std::size_t>(Index)] =
          static_cast<std::uint64_t>(Count);
  return Evidence;
}

wire::evidence_report toWire(const evidence_report &Report) {
  wire::evidence_report Out;
  Out.node = Report.Node.str();
  Out.life = static_cast<std::int64_t>(Report.Life.value());
  Out.service_name = Report.Service.str();
  Out.version_name = Report.Version.str();
  Out.sequence = static_cast<std::int64_t>(Report.Sequence);
  for (const auto &[Route, Evidence] : Report.Routes)
    Out.routes[Route.str()] = toWire(Evidence);
  return Out;
}

evidence_report fromWire(const wire::evidence_report &In) {
  evidence_report Report;
  Report.Node = node_id(In.node);
  Report.Life = incarnation(static_cast<std::uint64_t>(In.life));
  Report.Service = service_name(In.service_name);
  Report.Version = version_name(In.version_name);
  Report.Sequence = static_cast<std::uint64_t>(In.sequence);
  for (const auto &[Route, Evidence] : In.routes)
    Report.Routes[route_name(Route)] = fromWire(Evidence);
  return Report;
}

} // namespace chivebeam
