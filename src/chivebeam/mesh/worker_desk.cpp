#include "mesh/worker_desk.h"

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr std::size_t MaxReportBytes = 64 << 10;

} // namespace

worker_desk::worker_desk(asio::io_context &Context,
                         const mesh_settings &MeshSettings,
                         const worker_dialect &WorkerDialect,
                         home_runner &HomeRunner, mesh_state &MeshState,
                         peer_hub &PeerHub, node_registrar &NodeRegistrar)
    : Settings(MeshSettings), Dialect(WorkerDialect), Home(HomeRunner),
      State(MeshState), Hub(PeerHub), Registrar(NodeRegistrar),
      Reports(Settings.ReportInterval),
      Service(Context, MaxReportBytes,
              [this](const http_request &Request, const address &)
                  -> awaitable<http_response> { return handle(Request); }) {}

result<address> worker_desk::listen() {
  return Service.listen(Settings.WorkerReports);
}

void worker_desk::announce() {
  home_record Record;
  Record.NodeLeaving = NodeLeaving;
  if (const std::optional<worker_report> &Report = Reports.current()) {
    Record.Start = Report->Start;
    Record.Report = Report->Sequence;
    Record.Worker = Report->Worker;
    Home.follow(*Report);
  }
  State.setOwn(Record);
  Registrar.publish(State.ownRecord());
  peer_frame Frame = Hub.frame(frame_kind::records);
  Frame.Records.push_back(State.ownRecord());
  Hub.broadcast(Frame);
}

void worker_desk::restore(const home_record &Stored) {
  State.countChangesFrom(Stored.Change);
  if (Reports.current() || Stored.Start.Worker.empty())
    return;
  worker_report Report;
  Report.Start = Stored.Start;
  Report.Sequence = Stored.Report;
  Report.Worker = Stored.Worker;
  Report.At = Settings.Worker;
  Reports.report(Report, currentTime());
  log_event("worker_restored")
      .add("worker", Stored.Start.Worker)
      .add("report", Stored.Report);
  announce();
}

void worker_desk::restoreLeaving(const home_record &Stored) {
  const std::optional<worker_report> &Known = Reports.current();
  if (Known && (Known->Start != Stored.Start ||
                Known->Worker.State == worker_state::leaving))
    return;
  Reports.restoreLeaving(Stored.Start, Stored.Report, currentTime());
  log_event("worker_restored")
      .add("worker", Stored.Start.Worker)
      .add("state", "leaving");
  announce();
}

void worker_desk::leave() {
  NodeLeaving = true;
  announce();
}

bool worker_desk::isKnownService(const service_name &Name) const {
  // Before the first configuration, any service may turn out to be one.
  return !State.view() || State.view()->Config->findService(Name);
}

awaitable<http_response> worker_desk::handle(const http_request &Request) {
  instant Now = currentTime();
  result<worker_word> Word = Dialect.read(Request, Now);
  if (!Word) {
    log_event("report_refused").add("error", Word.error().text());
    co_return Dialect.reject(Word.error());
  }
  if (!Word->Leaves && !isKnownService(Word->Report.Worker.Service)) {
    error Unknown{error_kind::not_found, "/info/service",
                  "no service \"" + Word->Report.Worker.Service.str() +
                      "\" is configured",
                  "correct the report, or add the service"};
    log_event("report_refused").add("error", Unknown.text());
    co_return Dialect.reject(Unknown);
  }
  report_effect Effect =
      Word->Leaves ? Reports.leave(Word->Worker, Word->StartedAtMs, Now)
                   : Reports.report(Word->Report, Now);
  if (Effect == report_effect::unchanged)
    co_return Dialect.acknowledge();
  const worker_report &Known = *Reports.current();
  bool Leaving = Known.Worker.State == worker_state::leaving;
  log_event("worker_report")
      .add("worker", Word->Worker)
      .add("leaves", Word->Leaves)
      .add("sequence", Word->Report.Sequence)
      .add("effect", toString(Effect))
      .add("state", toString(Known.Worker.State));
  if (Effect == report_effect::stale)
    co_return Dialect.acknowledge();
  announce();
  bool Stored = true;
  if (Leaving)
    Stored = co_await Registrar.persistLeaving(State.ownRecord());
  if (!Stored)
    log_event("leaving_not_stored").add("worker", Word->Worker);
  co_return Dialect.acknowledge();
}

} // namespace chivebeam
