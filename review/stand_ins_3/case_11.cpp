// Case 11: a leave notice that was acknowledged while the store was down is
// lost if all processes end before the store is back.
#include "fleet.h"

using namespace review;

namespace {

constexpr std::size_t Machines = 3;
constexpr double DrainS = 2;
constexpr int BurstOfMachine = 8;

request payment() {
  request Payment;
  Payment.Method = "POST";
  Payment.Target = "/pay/a";
  Payment.Host = "shop.example";
  Payment.Body = "amount=1";
  Payment.Id = unique_id();
  Payment.DeadlineMs = 4000;
  return Payment;
}

/// Sends payments at all machines at once; returns their ids.
std::vector<std::string> burst(fleet &Fleet, record &Log) {
  std::mutex Mutex;
  std::vector<std::string> Ids;
  std::vector<std::thread> Threads;
  for (std::size_t Machine = 0; Machine < Machines; ++Machine)
    for (int Number = 0; Number < BurstOfMachine; ++Number)
      Threads.emplace_back([&, Machine] {
        request Payment = payment();
        outcome Seen = call(Fleet.Nodes[Machine]->outbound(), Payment);
        Log.line("sent " + Payment.Id + " at side-" + std::to_string(Machine) +
                 ", answered " + std::to_string(Seen.Status) + " " + Seen.Body);
        std::lock_guard Lock(Mutex);
        Ids.push_back(Payment.Id);
      });
  for (std::thread &Thread : Threads)
    Thread.join();
  return Ids;
}

int play(fleet &Fleet, record &Log, bool Trouble) {
  bool Works = Fleet.startStore(write_config(3, {{"pay", "desk", "unsafe"}}));
  for (std::size_t Machine = 0; Machine < Machines; ++Machine)
    Works = Works && Fleet.addMachine("desk", "v1", true,
                                      [](worker_options &Options) {
                                        Options.Slots = 6;
                                        Options.WorkMs = 200;
                                      });
  if (!Works || !wait_for([&] { return Fleet.isReady(); }, 15)) {
    Log.line("the deployment did not become ready");
    return 2;
  }
  pause_ms(4000);
  burst(Fleet, Log);
  worker &Leaving = *Fleet.Workers[0];
  bool IsUsed = Leaving.totalRuns() > 0;
  if (Trouble) {
    Fleet.Store.setBusy(true);
    Log.line("the store is down: it answers 503");
  }
  pause_ms(500);
  // The worker sends DELETE first, serves on and says in its answers that it
  // leaves.
  Leaving.stopReports();
  Leaving.setExtraFields("Server-Leaving: 1\r\n");
  int Status = Leaving.deregister();
  time_point AcknowledgedAt = now();
  Log.line("DELETE /instances/" + Leaving.options().Id + " answered " +
           std::to_string(Status));
  pause_ms(1000);
  if (Trouble) {
    for (auto &Node : Fleet.Nodes)
      Node->kill();
    Log.line("all processes killed");
    pause_ms(600);
    for (auto &Node : Fleet.Nodes)
      Node->start(false);
    pause_ms(600);
    Fleet.Store.setBusy(false);
    Log.line("the store is back");
  } else {
    pause_ms(1200);
  }
  bool IsBack = wait_for([&] { return Fleet.isReady(); }, 10);
  Log.line(IsBack ? "all machines are ready" : "not all machines are ready");
  // All machines are in touch stabilityWindowS after the store's return.
  pause_ms(3300);
  double Since = std::chrono::duration<double>(now() - AcknowledgedAt).count();
  Log.line("payments from all machines, " + std::to_string(Since) +
           " s after the acknowledgement");
  int Late = 0;
  for (const std::string &Id : burst(Fleet, Log))
    Late += Leaving.runsOf(Id);
  Log.line("payments that ran on " + Leaving.options().Id + ": " +
           std::to_string(Late));
  if (!IsUsed || Status != 200 || !IsBack || Since <= DrainS)
    return 2;
  return Late > 0 ? 1 : 0;
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
  Log.line(Result == 1   ? "DRAIN is broken"
           : Result == 0 ? "DRAIN holds"
                         : "the case could not run");
  Setup.clean();
  return Result;
}
