// Case 14: after a restart of all processes, a page that each server of a
// service was running when they crashed together is refused by all machines.
#include "fleet.h"

using namespace review;

namespace {

constexpr std::size_t Machines = 3;
constexpr const char *Page = "/rates/today";

std::atomic<int> PageRuns = 0, PageAnswers = 0;

/// Takes 0.9 s for the page, 40 ms for all else.
bool run_page(int, const message &Request, std::string &) {
  bool IsPage = Request.Target == Page;
  PageRuns += IsPage;
  pause_ms(IsPage ? 900 : 40);
  PageAnswers += IsPage;
  return false;
}

void usual(worker_options &Options) {
  Options.Slots = 18;
  Options.WorkMs = 0;
  Options.Special = run_page;
}

class route_callers {
public:
  route_callers(fleet &Fleet) : Fleet(Fleet) {
    for (int Thread = 0; Thread < 12; ++Thread)
      Threads.emplace_back([this, Thread] { run(Thread); });
  }
  ~route_callers() {
    Stopped = true;
    for (std::thread &Thread : Threads)
      Thread.join();
  }
  traffic_count takePage() { return take(OfPage); }
  traffic_count takeOthers() { return take(OfOthers); }

private:
  traffic_count take(traffic_count &Count) {
    std::lock_guard Lock(Mutex);
    return std::exchange(Count, {});
  }
  void run(int Thread) {
    for (unsigned Turn = 0; !Stopped; ++Turn) {
      bool IsPage = Thread % 2 == 0;
      request Request;
      Request.Host = "shop.example";
      Request.Id = unique_id();
      Request.Target = IsPage ? Page : "/desk/" + Request.Id;
      Request.DeadlineMs = 3000;
      std::size_t Machine = (static_cast<unsigned>(Thread) / 2 + Turn) % Machines;
      outcome Seen = call(Fleet.Nodes[Machine]->outbound(), Request);
      Fleet.Log.line("sent " + Request.Id + " " + Request.Target + " at side-" +
                     std::to_string(Machine) + ", answered " +
                     std::to_string(Seen.Status));
      {
        std::lock_guard Lock(Mutex);
        traffic_count &Count = IsPage ? OfPage : OfOthers;
        ++Count.Sent;
        Count.Served += Seen.Status == 200 && Seen.HasSignature;
        Count.Refused += Seen.Status == 503;
        Count.Other += Seen.Status != 200 && Seen.Status != 503;
      }
      pause_ms(100);
    }
  }

  fleet &Fleet;
  std::vector<std::thread> Threads;
  std::atomic<bool> Stopped = false;
  std::mutex Mutex;
  traffic_count OfPage, OfOthers;
};

int play(fleet &Fleet, record &Log, bool Trouble) {
  bool Works = Fleet.startStore(write_config(3, {{"desk", "desk", "safe"}}, 3));
  for (std::size_t Machine = 0; Machine < Machines; ++Machine)
    Works = Works && Fleet.addMachine("desk", "v1", true, usual);
  if (!Works || !wait_for([&] { return Fleet.isReady(); }, 15)) {
    Log.line("the deployment did not become ready");
    return 2;
  }
  pause_ms(3000);
  Fleet.Store.put("op/config", write_config(5,
                                            {{"desk", "desk", "safe"},
                                             {"rates", "desk", "safe"}},
                                            3));
  Log.line("configuration 5 adds the route /rates/");
  pause_ms(2500);
  route_callers Callers(Fleet);
  pause_ms(4000);
  Log.line("page: " + Callers.takePage().text());
  Log.line("others: " + Callers.takeOthers().text());
  if (Trouble) {
    for (auto &Node : Fleet.Nodes)
      Node->kill();
    Log.line("all processes killed");
    pause_ms(1500);
    int RunsBefore = PageRuns;
    for (auto &Node : Fleet.Nodes)
      Node->start(false);
    // The workers crash while all of them run the page for the first time
    // since the restart.
    wait_for([&] { return PageRuns > RunsBefore; }, 8);
    pause_ms(600);
    Log.line("page runs since the restart: " +
             std::to_string(PageRuns - RunsBefore));
    std::vector<std::thread> Ends;
    for (auto &Worker : Fleet.Workers)
      Ends.emplace_back([&] { Worker->stop(); });
    for (std::thread &End : Ends)
      End.join();
    Log.line("the three workers crashed");
    pause_ms(2000);
    for (std::size_t Machine = 0; Machine < Machines; ++Machine) {
      worker_options Options = Fleet.Workers[Machine]->options();
      Options.Id += "-again";
      Fleet.Workers[Machine] = std::make_unique<worker>(Log, Options);
      Fleet.Workers[Machine]->start();
    }
    Log.line("the workers are back");
  }
  pause_ms(8000);
  Callers.takePage();
  Callers.takeOthers();
  pause_ms(15000);
  traffic_count OfPage = Callers.takePage();
  traffic_count Others = Callers.takeOthers();
  Log.line("page: " + OfPage.text());
  Log.line("others: " + Others.text());
  if (OfPage.Sent < 20 || Others.share() < 0.25)
    return 2;
  return OfPage.share() < Others.share() / 4 ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  run_setup Setup = run_setup::read(Count, Arguments);
  record Log(Setup.RecordPath);
  Log.line(std::string("trouble=") + (Setup.Trouble ? "1" : "0"));
  int Result;
  {
    fleet Fleet(Setup, Log, {"zone-a"});
    Result = play(Fleet, Log, Setup.Trouble);
  }
  Log.line(Result == 1   ? "CONFIG is broken"
           : Result == 0 ? "CONFIG holds"
                         : "the case could not run");
  Setup.clean();
  return Result;
}
