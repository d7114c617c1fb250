// Case 11: after a drill of the store, processes that start anew take the
// order of a completed roll-out for a new one.
#include "fleet.h"

using namespace review;

namespace {

constexpr std::size_t OldMachines = 4;
constexpr std::size_t AllMachines = 8;

int play(fleet &Fleet, record &Log, bool Trouble) {
  bool Works = Fleet.startStore(write_config(3, {{"desk", "desk", "safe"}}));
  for (std::size_t Machine = 0; Machine < OldMachines; ++Machine)
    Works = Works && Fleet.addMachine("desk", "v1", true);
  if (!Works || !wait_for([&] { return Fleet.isReady(); }, 15)) {
    Log.line("the deployment did not become ready");
    return 2;
  }
  pause_ms(3000);
  for (std::size_t Machine = OldMachines; Machine < AllMachines; ++Machine)
    Fleet.addMachine("desk", "v2", false);
  wait_for([&] { return Fleet.isReady(); }, 10);
  request Sample;
  Sample.Target = "/desk/a";
  Sample.Host = "shop.example";
  Sample.DeadlineMs = 1000;
  callers Callers(Fleet, OldMachines, 8, 200, {Sample});
  pause_ms(1500);
  Log.line("before the roll-out: " + Callers.take().text());
  Fleet.Store.put("op/rollout/desk",
                  R"({"service":"desk","targetVersion":"v2","durationS":16})");
  Log.line("op/rollout/desk written");
  auto Status = [&] { return Fleet.Store.value("status/rollout/desk"); };
  bool Completed = wait_for(
      [&] { return Status().find("completed") != std::string::npos; }, 20);
  Log.line("status: " + Status());
  if (!Completed) {
    Log.line("the roll-out was not completed");
    return 2;
  }
  // At completed, the old workers stop, and their machines are removed.
  Callers.setMachines(OldMachines, AllMachines);
  Fleet.removeMachines(0, OldMachines);
  Log.line("workers of v1 stopped, their machines removed");
  // Later there are fewer callers.
  Callers.setPause(2000);
  pause_ms(3000);
  Fleet.Store.saveCopy();
  Log.line("the store is copied; keys:");
  for (const std::string &Key : Fleet.Store.keys())
    Log.line("  " + Key);
  pause_ms(3000);
  if (Trouble) {
    Fleet.Store.setAway(true);
    Log.line("drill: the store is away");
  }
  pause_ms(1000);
  if (Trouble) {
    Fleet.Store.restoreCopy();
    Fleet.Store.setAway(false);
    Log.line("drill: the store is back from the copy, 4 s old; era " +
             std::to_string(Fleet.Store.era()));
  }
  pause_ms(8000);
  Callers.take();
  pause_ms(4000);
  traffic_count Before = Callers.take();
  Log.line("before the final fault: " + Before.text());
  Log.line("status: " + Status());
  for (auto &Node : Fleet.Nodes)
    Node->kill();
  Log.line("final fault: all processes killed");
  pause_ms(600);
  for (std::size_t Machine = OldMachines; Machine < AllMachines; ++Machine)
    Fleet.Nodes[Machine]->start(false);
  wait_for([&] { return Fleet.isReady(); }, 10);
  Log.line("all machines are back and ready");
  pause_ms(15000);
  Callers.take();
  pause_ms(15000);
  traffic_count After = Callers.take();
  Log.line("later than recoveryS after the machines are back: " + After.text());
  Log.line("status: " + Status());
  for (auto &Worker : Fleet.Workers)
    Log.line("worker " + Worker->options().Id + " ran " +
             std::to_string(Worker->totalRuns()));
  if (Before.share() < 0.25 || After.Sent == 0)
    return 2;
  return After.share() < 0.25 ? 1 : 0;
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
  Log.line(Result == 1   ? "RECOVER is broken"
           : Result == 0 ? "RECOVER holds"
                         : "the case could not run");
  Setup.clean();
  return Result;
}
