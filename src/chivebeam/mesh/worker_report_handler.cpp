#include "mesh/worker_report_handler.h"

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr std::size_t MaxReportBytes = 64 << 10;
constexpr std::size_t MaxReportConnections = 64;
/// The backend server waits one second for the answer to a report.
constexpr milliseconds MaxReportDelay{700};
constexpr milliseconds LoadedCheckInterval{10};
constexpr milliseconds SaveRetryInterval{300};

} // namespace

worker_report_handler::worker_report_handler(
    asio::io_context &IoContext, const mesh_settings &MeshSettings,
    const worker_protocol &WorkerProtocol, home_runner &HomeRunner,
    mesh_state &MeshState, config_store &Store)
    : Context(IoContext), Settings(MeshSettings), Protocol(WorkerProtocol),
      Home(HomeRunner), State(MeshState), Notes(Store, Settings),
      Reports(Settings.ReportInterval),
      Service(
          Context, MaxReportBytes,
          [this](const http_request &Request, const address &)
              -> awaitable<http_response> { return handle(Request); },
          MaxReportConnections) {
  Home.onServerLeaving(
      [this](const worker_start &Start) { serverLeaves(Start); });
  State.onOwnCopy([this](const home_record &Copy) { restore(Copy); });
}

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
}

awaitable<void> worker_report_handler::load() {
  if (!Settings.FirstStart) {
    result<std::optional<home_record>> Stored = co_await Notes.load();
    if (!Stored)
      log_event("leaving_unknown").add("error", Stored.error().text());
    else if (*Stored && (*Stored)->Worker.State == worker_state::leaving) {
      NotedLeaving = (*Stored)->Start;
      restoreLeaving(**Stored);
    } else if (*Stored && !EarlyCopy)
      EarlyCopy = **Stored;
  } else {
    Notes.assumeNone();
  }
  Loaded = true;
  if (std::optional<home_record> Copy = std::exchange(EarlyCopy, std::nullopt))
    restore(*Copy);
}

awaitable<bool> worker_report_handler::waitUntilLoaded() {
  instant GiveUpAt = currentTime() + MaxReportDelay;
  while (!Loaded && currentTime() < GiveUpAt)
    co_await sleepFor(LoadedCheckInterval);
  co_return Loaded;
}

void worker_report_handler::restore(const home_record &Copy) {
  State.raiseChangeNumber(Copy.Change);
  if (!Loaded) {
    EarlyCopy = Copy;
    return;
  }
  // The note in the store may be older than the copy. Other nodes take no
  // record that is based on an earlier report.
  const std::optional<worker_report> &Known = Reports.current();
  bool IsLater =
      !Known || (Known->Start == Copy.Start && Known->Sequence < Copy.Report);
  if (IsLater && !Copy.Start.Worker.empty()) {
    worker_report Report;
    Report.Start = Copy.Start;
    Report.Sequence = Copy.Report;
    Report.Worker = Copy.Worker;
    Report.At = Settings.Worker;
    Reports.report(Report, currentTime());
    log_event("worker_restored")
        .add("worker", Copy.Start.Worker)
        .add("report", Copy.Report);
  }
  announce();
  // The process that acknowledged the leave may have ended before the store had
  // noted it.
  asio::co_spawn(Context, storeLeaving(), asio::detached);
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

void worker_report_handler::serverLeaves(const worker_start &Start) {
  report_effect Effect =
      Reports.leave(Start.Worker, Start.StartedAtMs, currentTime());
  if (Effect != report_effect::changed)
    return;
  announce();
  asio::co_spawn(Context, storeLeaving(), asio::detached);
}

void worker_report_handler::leave() {
  NodeLeaving = true;
  announce();
}

void worker_report_handler::storeRestored() {
  ++StoreRestores;
  NotedLeaving.reset();
  Notes.forgetRevision();
  asio::co_spawn(Context, storeLeaving(), asio::detached);
}

bool worker_report_handler::owesLeavingNote() const {
  const std::optional<worker_report> &Known = Reports.current();
  return Known && Known->Worker.State == worker_state::leaving &&
         NotedLeaving != Known->Start;
}

awaitable<bool> worker_report_handler::noteLeaving() {
  worker_start Start = Reports.current()->Start;
  unsigned RestoresBefore = StoreRestores;
  bool Stored = co_await Notes.saveLeaving(State.ownRecord());
  // A store that was restored meanwhile may have lost the note again.
  if (Stored && StoreRestores == RestoresBefore)
    NotedLeaving = Start;
  co_return Stored;
}

awaitable<void> worker_report_handler::storeLeaving() {
  if (std::exchange(StoringLeaving, true))
    co_return;
  while (owesLeavingNote()) {
    worker_id Worker = Reports.current()->Start.Worker;
    bool Stored = co_await noteLeaving();
    if (Stored)
      log_event("leaving_stored").add("worker", Worker);
    else
      co_await sleepFor(SaveRetryInterval);
  }
  StoringLeaving = false;
}

bool worker_report_handler::isKnownService(const service_name &Name) const {
  // Before the first configuration arrives, any service is accepted, since it
  // may turn out to be configured.
  return !State.view() || State.view()->Config->findService(Name);
}

awaitable<http_response>
worker_report_handler::handle(const http_request &Request) {
  if (!co_await waitUntilLoaded())
    co_return Protocol.reject(
        {error_kind::unavailable, "",
         "this node does not know yet whether the backend server leaves",
         "report again"});
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
  if (Effect == report_effect::unchanged) {
    Home.coldStartReported(Reports.current()->Worker.ReadySince);
    co_return Protocol.acknowledge();
  }
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
  if (!Message->IsDeregistration)
    Home.coldStartReported(Known.Worker.ReadySince);
  if (Effect == report_effect::started && !Leaving)
    asio::co_spawn(co_await asio::this_coro::executor,
                   Notes.saveStarted(State.ownRecord()), asio::detached);
  if (Leaving && !co_await noteLeaving()) {
    log_event("leaving_not_stored").add("worker", Message->Worker);
    asio::co_spawn(Context, storeLeaving(), asio::detached);
  }
  co_return Protocol.acknowledge();
}

} // namespace chivebeam
