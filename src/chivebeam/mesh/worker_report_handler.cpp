#include "mesh/worker_report_handler.h"

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr std::size_t MaxReportBytes = 64 << 10;

} // namespace

worker_report_handler::worker_report_handler(
    asio::io_context &Context, const mesh_settings &MeshSettings,
    const worker_protocol &WorkerProtocol, home_runner &HomeRunner,
    mesh_state &MeshState, peer_hub &PeerHub, node_registrar &NodeRegistrar)
    : Settings(MeshSettings), Protocol(WorkerProtocol), Home(HomeRunner),
      State(MeshState), Hub(PeerHub), Registrar(NodeRegistrar),
      Reports(Settings.ReportInterval),
      Service(Context, MaxReportBytes,
              [this](const http_request &Request, const address &)
                  -> awaitable<http_response> { return handle(Request); }) {}

result<address> worker_report_handler::listen() {
  return Service.listen(Settings.WorkerReports);
}

void worker_report_handler::announce() {
  home_record Record;
  Record.NodeLeaving = NodeLeaving;
  if (const std::optional<worker_report> &Report = Reports.current()) {
    Record.Start = Report->Start;
    Record.Report = Report->Sequence;
    Record.Worker = Report->Worker;
    Home.updateWorker(*Report);
  }
  State.setOwnRecord(Record);
  Registrar.publish(State.ownRecord());
  peer_frame Frame = Hub.frame(frame_kind::records);
  Frame.Records.push_back(State.ownRecord());
  Hub.broadcast(Frame);
}

void worker_report_handler::restore(const home_record &Stored) {
  State.raiseChangeNumber(Stored.Change);
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

void worker_report_handler::restoreLeaving(const home_record &Stored) {
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

void worker_report_handler::leave() {
  NodeLeaving = true;
  announce();
}

bool worker_report_handler::isKnownService(const service_name &Name) const {
  // Before the first configuration arrives, any service is accepted, since it
  // may turn out to be configured.
  return !State.view() || State.view()->Config->findService(Name);
}

awaitable<http_response>
worker_report_handler::handle(const http_request &Request) {
  instant Now = currentTime();
  result<worker_message> Message = Protocol.read(Request, Now);
  if (!Message) {
    log_event("report_refused").add("error", Message.error().text());
    co_return Protocol.reject(Message.error());
  }
  if (!Message->IsDeregistration &&
      !isKnownService(Message->Report.Worker.Service)) {
    error Unknown{error_kind::not_found, "/info/service",
                  "no service \"" + Message->Report.Worker.Service.str() +
                      "\" is configured",
                  "correct the report, or add the service"};
    log_event("report_refused").add("error", Unknown.text());
    co_return Protocol.reject(Unknown);
  }
  report_effect Effect =
      Message->IsDeregistration
          ? Reports.leave(Message->Worker, Message->StartedAtMs, Now)
          : Reports.report(Message->Report, Now);
  if (Effect == report_effect::unchanged)
    co_return Protocol.acknowledge();
  const worker_report &Known = *Reports.current();
  bool Leaving = Known.Worker.State == worker_state::leaving;
  log_event("worker_report")
      .add("worker", Message->Worker)
      .add("leaves", Message->IsDeregistration)
      .add("sequence", Message->Report.Sequence)
      .add("effect", toString(Effect))
      .add("state", toString(Known.Worker.State));
  if (Effect == report_effect::stale)
    co_return Protocol.acknowledge();
  announce();
  bool Stored = true;
  if (Leaving)
    Stored = co_await Registrar.persistLeaving(State.ownRecord());
  if (!Stored)
    log_event("leaving_not_stored").add("worker", Message->Worker);
  co_return Protocol.acknowledge();
}

} // namespace chivebeam
