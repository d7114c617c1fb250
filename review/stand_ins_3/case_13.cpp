// Case 13: a version that was rolled back gets calls again as soon as the
// operator orders the next version.
#include "fleet.h"

using namespace review;

namespace {

constexpr std::size_t OldMachines = 4;
constexpr double ExposureShare = 0.1;
constexpr int ExposureSlack = 50;
constexpr int DurationS = 8;
constexpr std::int64_t WorkMs = 50;

/// Fails a quarter of the requests on one route, with the worker's own signature.
bool fail_some(int Socket, const message &Request, std::string &) {
  static std::atomic<unsigned> Next = 0;
  if (Request.Target.rfind("/list/", 0) != 0 || ++Next % 4 != 0)
    return false;
  pause_ms(WorkMs);
  std::string Id = Request.field("request-id");
  return !send_all(Socket, "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: " +
                               Id + "\r\nResponse-Signature: bad." + Id +
                               "\r\nContent-Length: 0\r\n\r\n");
}

void usual(worker_options &Options) { Options.WorkMs = WorkMs; }

int play(fleet &Fleet, record &Log, bool Trouble) {
  bool Works = Fleet.startStore(write_config(3, {{"desk", "desk", "safe"},
                                              {"list", "desk", "safe"}}));
  for (std::size_t Machine = 0; Machine < OldMachines; ++Machine)
    Works = Works && Fleet.addMachine("desk", "v1", true, usual);
  if (!Works || !wait_for([&] { return Fleet.isReady(); }, 15)) {
    Log.line("the deployment did not become ready");
    return 2;
  }
  pause_ms(4000);
  request Sample;
  Sample.Target = "/desk/a";
  Sample.Host = "shop.example";
  Sample.DeadlineMs = 1000;
  request Other = Sample;
  Other.Target = "/list/a";
  // All requests begin at the machines of v1, which are in touch all the while.
  callers Callers(Fleet, OldMachines, 130, 140,
                  {Sample, Sample, Sample, Sample, Other});
  pause_ms(2000);
  Log.line("before the roll-out: " + Callers.take().text());
  auto RunsOf = [&](const std::string &Version) {
    int Sum = 0;
    for (auto &Worker : Fleet.Workers)
      if (Worker->options().Version == Version)
        Sum += Worker->totalRuns();
    return Sum;
  };
  auto AllRuns = [&] { return RunsOf("v1") + RunsOf("v2") + RunsOf("v3"); };
  auto Order = [&](const std::string &Version) {
    Fleet.Store.put("op/rollout/desk",
                    "{\"service\":\"desk\",\"targetVersion\":\"" + Version +
                        "\",\"durationS\":" + std::to_string(DurationS) + "}");
    Log.line("op/rollout/desk written: " + Version);
  };
  auto Status = [&] { return Fleet.Store.value("status/rollout/desk"); };
  for (std::size_t Machine = 0; Machine < OldMachines; ++Machine)
    Fleet.addMachine("desk", "v2", false,
                     [](worker_options &Options) {
                       usual(Options);
                       Options.Special = fail_some;
                     });
  int RunsBefore = AllRuns();
  Order("v2");
  time_point Deadline = now() + std::chrono::seconds(DurationS);
  bool RolledBack = wait_for(
      [&] { return Status().find("rolled_back") != std::string::npos; },
      DurationS + 1);
  Log.line("status: " + Status() + "; runs at v2 so far: " +
           std::to_string(RunsOf("v2")));
  if (!RolledBack)
    return 2;
  // The workers of the version that was rolled back drain some seconds later.
  time_point DrainAt = now() + ms(4000);
  // Machines of v2 take callers once they are in touch.
  std::this_thread::sleep_until(Deadline - std::chrono::seconds(DurationS) +
                                ms(3200));
  Callers.setMachines(0, 2 * OldMachines);
  if (Trouble) {
    pause_ms(250);
    for (std::size_t Machine = 0; Machine < OldMachines; ++Machine)
      Fleet.addMachine("desk", "v3", false, usual);
    Order("v3");
  }
  std::this_thread::sleep_until(std::min(DrainAt, Deadline));
  if (DrainAt < Deadline) {
    Log.line("workers of v2 drain; runs at v2 so far: " +
             std::to_string(RunsOf("v2")));
    for (auto &Worker : Fleet.Workers)
      if (Worker->options().Version == "v2")
        Worker->setState("draining");
  }
  std::this_thread::sleep_until(Deadline);
  int Bad = RunsOf("v2");
  int All = AllRuns() - RunsBefore;
  double Limit = ExposureShare * All + ExposureSlack;
  Log.line("from the order of v2 to its deadline: " + std::to_string(All) +
           " requests reached the service, " + std::to_string(Bad) +
           " of them v2; the limit is " + std::to_string(Limit));
  Log.line("callers: " + Callers.take().text());
  Log.line("status: " + Status());
  if (All < 200)
    return 2;
  return Bad > Limit ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  run_setup Setup = run_setup::read(Count, Arguments);
  record Log(Setup.RecordPath);
  Log.line(std::string("trouble=") + (Setup.Trouble ? "1" : "0"));
  int Result;
  {
    fleet Fleet(Setup, Log, {"zone-a", "zone-b", "zone-c"});
    Result = play(Fleet, Log, Setup.Trouble);
  }
  Log.line(Result == 1   ? "EXPOSURE is broken"
           : Result == 0 ? "EXPOSURE holds"
                         : "the case could not run");
  Setup.clean();
  return Result;
}
