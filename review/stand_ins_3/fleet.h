// A deployment of machines, each with a node and a worker, and its callers.
#pragma once

#include "bed.h"

namespace review {

struct route {
  std::string Name, Service, Type;
};

/// Returns op/config. The prefix of a route is its name.
inline std::string write_config(int Version, const std::vector<route> &Routes,
                                double TimeoutS = 1.5) {
  json::array Entries, Paths;
  std::set<std::string> Services;
  for (const route &Route : Routes) {
    if (Services.insert(Route.Service).second)
      Entries.push_back(json::object{{"name", Route.Service},
                                     {"healthCheckPath", "/health"},
                                     {"maxConnections", 110},
                                     {"protocol", "h1"},
                                     {"tls", false}});
    Paths.push_back(json::object{{"name", "r-" + Route.Name},
                                 {"prefix", "/" + Route.Name + "/"},
                                 {"routeType", Route.Type},
                                 {"timeoutS", TimeoutS},
                                 {"targetLatencyS", 0.5},
                                 {"priority", 1},
                                 {"service", Route.Service},
                                 {"maxAttempts", 2}});
  }
  return json::serialize(json::object{
      {"version", Version},
      {"services", std::move(Entries)},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 67108864},
        {"headerTimeoutS", 3},
        {"idleTimeoutS", 15}}},
      {"virtualHosts", json::array{json::object{{"host", "shop.example"},
                                                {"paths", std::move(Paths)}}}}});
}

class fleet {
public:
  fleet(const run_setup &Setup, record &Log, std::vector<std::string> Zones)
      : Setup(Setup), Log(Log), Zones(std::move(Zones)),
        StoreAt{Setup.ip(1), 8627} {}
  ~fleet() { end(); }

  bool startStore(const std::string &Config) {
    if (!Store.start(StoreAt))
      return false;
    Store.put("op/config", Config);
    return true;
  }
  /// Adds a machine with a node and a worker of the service. Change may change
  /// the worker's options.
  bool addMachine(const std::string &Service, const std::string &Version,
                  bool FirstStart,
                  const std::function<void(worker_options &)> &Change = {}) {
    int Number = static_cast<int>(Nodes.size());
    node_options Options;
    Options.Name = "side-" + std::to_string(Number);
    Options.Ip = Setup.ip(10 + Number);
    Options.Zone = Zones[static_cast<std::size_t>(Number) % Zones.size()];
    Options.Zones = Zones;
    Options.Service = Service;
    Options.Store = StoreAt;
    Nodes.push_back(
        std::make_unique<node>(Log, Setup.Folder, Setup.Program, Options));
    node &Node = *Nodes.back();
    worker_options Worker;
    Worker.Id = "i-" + Service + "-" + Version + "-" + std::to_string(Number);
    Worker.Service = Service;
    Worker.Version = Version;
    Worker.Zone = Options.Zone;
    Worker.At = Node.application();
    Worker.Control = Node.control();
    if (Change)
      Change(Worker);
    Workers.push_back(std::make_unique<worker>(Log, Worker));
    Node.start(FirstStart);
    return Workers.back()->start();
  }
  /// True if all nodes that run say that they are ready.
  bool isReady() {
    return std::all_of(Nodes.begin(), Nodes.end(), [](auto &Node) {
      return !Node->isRunning() || Node->isReady();
    });
  }
  /// Ends the worker, then the node with SIGTERM: the machine is removed.
  void removeMachines(std::size_t First, std::size_t Last) {
    for (std::size_t Machine = First; Machine < Last; ++Machine)
      Workers[Machine]->stop();
    std::vector<std::thread> Ends;
    for (std::size_t Machine = First; Machine < Last; ++Machine)
      Ends.emplace_back([this, Machine] { Nodes[Machine]->terminate(); });
    for (std::thread &End : Ends)
      End.join();
  }
  void end() {
    for (auto &Node : Nodes)
      Node->kill();
    for (auto &Worker : Workers)
      Worker->stop();
    Store.stop();
  }

  const run_setup &Setup;
  record &Log;
  std::vector<std::string> Zones;
  endpoint StoreAt;
  store Store;
  std::vector<std::unique_ptr<node>> Nodes;
  std::vector<std::unique_ptr<worker>> Workers;
};

struct traffic_count {
  int Sent = 0, Served = 0, Refused = 0, Other = 0;
  double share() const { return Sent == 0 ? 0 : double(Served) / Sent; }
  std::string text() const {
    return "sent=" + std::to_string(Sent) + " served=" +
           std::to_string(Served) + " refused_503=" + std::to_string(Refused) +
           " other=" + std::to_string(Other);
  }
};

/// Sends requests at the machines in turn and counts the answers.
class callers {
public:
  callers(fleet &Fleet, std::size_t Machines, int Threads,
          std::int64_t PauseMillis, std::vector<request> Samples)
      : Fleet(Fleet), Last(Machines), PauseMs(PauseMillis),
        Samples(std::move(Samples)) {
    for (int Thread = 0; Thread < Threads; ++Thread)
      Running.emplace_back([this, Thread, Threads] { run(Thread, Threads); });
  }
  ~callers() {
    Stopped = true;
    for (std::thread &Thread : Running)
      Thread.join();
  }
  /// Starts a new count and returns the one before.
  traffic_count take() {
    std::lock_guard Lock(Mutex);
    return std::exchange(Count, {});
  }
  /// Callers use the machines from First up to Last.
  void setMachines(std::size_t NewFirst, std::size_t NewLast) {
    First = NewFirst;
    Last = NewLast;
  }
  /// Sets the pause of each caller between two requests.
  void setPause(std::int64_t Millis) { PauseMs = Millis; }

private:
  void run(int Thread, int Threads) {
    pause_ms(Thread * PauseMs / Threads);
    for (unsigned Turn = static_cast<unsigned>(Thread); !Stopped; ++Turn) {
      request Request = Samples[++Turns % Samples.size()];
      Request.Id = unique_id();
      std::size_t From = First, To = Last;
      node &Node = *Fleet.Nodes[From + Turn % (To - From)];
      outcome Seen = call(Node.outbound(), Request);
      Fleet.Log.line("sent " + Request.Id + " " + Request.Target + " at " +
                     Node.options().Name + ", answered " +
                     std::to_string(Seen.Status));
      {
        std::lock_guard Lock(Mutex);
        ++Count.Sent;
        Count.Served += Seen.Status == 200 && Seen.HasSignature;
        Count.Refused += Seen.Status == 503;
        Count.Other += Seen.Status != 200 && Seen.Status != 503;
      }
      for (std::int64_t Left = PauseMs; Left > 0 && !Stopped; Left -= 20)
        pause_ms(std::min<std::int64_t>(Left, 20));
    }
  }

  fleet &Fleet;
  std::atomic<std::size_t> First = 0, Last;
  std::atomic<std::int64_t> PauseMs;
  const std::vector<request> Samples; ///< sent in turn
  std::atomic<std::size_t> Turns = 0;
  std::vector<std::thread> Running;
  std::atomic<bool> Stopped = false;
  std::mutex Mutex;
  traffic_count Count;
};

} // namespace review
