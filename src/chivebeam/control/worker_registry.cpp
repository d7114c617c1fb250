#include "control/worker_registry.h"

#include "base/object_reader.h"
#include "charts/embedded_charts.h"

namespace chivebeam {

namespace {

/// A backend server that sends no announcement for this long counts as absent.
constexpr milliseconds HeartbeatTimeout{2'000};
constexpr std::int64_t MaxSlots = 10'000;

worker_state toWorkerState(std::string_view ChartState) {
  if (ChartState == "ready")
    return worker_state::ready;
  return ChartState == "leaving" ? worker_state::leaving : worker_state::absent;
}

} // namespace

checked<worker_announcement> readAnnouncement(std::string_view Text) {
  checked<boost::json::value> Document = parseJson(Text);
  if (!Document)
    return tl::unexpected(Document.error());
  error_list Errors;
  object_reader Reader(*Document, "", Errors);
  worker_announcement Announcement;
  Announcement.Service = service_name(Reader.text("service"));
  Announcement.Version = version_name(Reader.text("version"));
  std::string Worker = Reader.text("address");
  std::optional<address> Parsed = parseAddress(Worker);
  if (!Parsed && !Worker.empty())
    Reader.fail("address", "\"" + Worker + "\" is not an address",
                "write ip:port");
  Announcement.Worker = Parsed.value_or(address());
  Announcement.Slots =
      static_cast<unsigned>(Reader.integer("slots", 1, MaxSlots));
  Announcement.Leaving = Reader.flagOr("leaving", false);
  Reader.finish();
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Announcement;
}

bool worker_registry::fireEvent(std::string_view Event, instant Now) {
  chart_step Step = shippedChart("worker").step(
      State, Event, [](std::string_view) { return true; });
  if (!Step.Taken)
    return false;
  bool BecameReady = Step.State == "ready" && State != "ready";
  State = Step.State;
  Record.State = toWorkerState(State);
  if (BecameReady)
    Record.ReadySince = Now;
  return true;
}

bool worker_registry::handleAnnouncement(
    const worker_announcement &Announcement, instant Now) {
  worker_record OldRecord = Record;
  address OldAddress = Worker;
  LastAnnouncement = Now;
  Record.Service = Announcement.Service;
  Record.Version = Announcement.Version;
  Record.Slots = Announcement.Slots;
  Worker = Announcement.Worker;
  fireEvent(Announcement.Leaving ? "announced_leaving" : "announced", Now);
  return Record != OldRecord || Worker != OldAddress;
}

bool worker_registry::tick(instant Now) {
  if (State == "absent" || Now < LastAnnouncement + HeartbeatTimeout)
    return false;
  return fireEvent("heartbeat_missed", Now);
}

} // namespace chivebeam
