#pragma once

#include "mesh/mesh_node.h"
#include "stand_ins/platform_store.h"
#include "stand_ins/scripted_http.h"

namespace chivebeam::tests {

/// Behavior of a backend server of the platform.
struct worker_script {
  /// Answers a request; the default is status 200 with the server's id and the
  /// request's body.
  std::function<awaitable<void>(tcp::socket &Socket,
                                const http::request<http::string_body> &)>
      Answer;
  milliseconds Delay{0};
  /// If set, answers wait until it returns true.
  std::function<bool()> MayAnswer;
  /// If set and true for a request, the server crashes while it runs it.
  std::function<bool(const http::request<http::string_body> &)> Crashes;
  /// Returns what the server sends before it crashes; nothing if not set.
  std::function<std::string(const http::request<http::string_body> &)>
      CrashBytes;
  milliseconds CrashDelay{10}; ///< from the request to the crash
};

/// A backend server of the platform, as nodes see it.
struct mesh_worker {
  std::string Id;
  std::string Service;
  std::string Version = "v1";
  std::int64_t StartedAtMs = 1;
  unsigned Slots = 4;
  std::uint64_t Sequence = 0;
  double ColdRemainingS = 0; ///< in its reports
  worker_script Script;
  std::unique_ptr<scripted_worker> Server;
  std::vector<http::request<http::string_body>> Received;
  unsigned Running = 0;
  unsigned MaxRunning = 0;
  unsigned Crashes = 0;
};

/// Returns the status of an answer; zero if there is none.
inline unsigned statusOf(const std::optional<text_answer> &Answer) {
  return Answer ? Answer->result_int() : 0;
}

/// The platform's store, nodes and their backend servers, all on one
/// io_context.
class mesh_fixture {
public:
  mesh_fixture();
  /// Adds a node with a backend server for each of Services, and stores
  /// configuration 1 with these services.
  explicit mesh_fixture(const std::vector<std::string> &Services);
  ~mesh_fixture();

  /// Adds a node with a backend server beside it; returns its index.
  std::size_t addNode(std::string Service, std::string Domain = "zone-a",
                      unsigned Slots = 4);
  /// Stops a node and starts a new process in its place.
  awaitable<void> replaceNode(std::size_t Index);
  std::size_t size() const { return Nodes.size(); }
  bool stopped(std::size_t Index) const { return Stopped[Index]; }
  mesh_node &node(std::size_t Index) { return *Nodes[Index]; }
  /// True if this configuration is in force on the node.
  bool hasConfig(std::size_t Index, std::uint64_t Number) {
    return node(Index).configNumber() == config_number(Number);
  }
  mesh_worker &worker(std::size_t Index) { return *Workers[Index]; }
  /// Returns how often backend servers have crashed.
  unsigned crashes() const;
  /// Returns how often a request to this target has reached backend servers.
  long runsOf(const std::string &Target) const;
  stand_ins::platform_store &store() { return *Store; }
  /// Sets whether the store answers no call of this node.
  void cutFromStore(std::size_t Index, bool IsCut) {
    Store->setSilent(node(Index).settings().Store, IsCut);
  }
  /// Returns the nodes that hold the slots for watchers of a failure domain.
  std::vector<std::size_t> watchersOf(const std::string &Domain) const;
  /// Orders a move of the service to version v2 within 14 s.
  void orderMove(const std::string &Service);
  std::string moveStatus(const std::string &Service) const {
    return Store->value("status/rollout/" + Service);
  }
  /// True if the store holds a note that the backend server leaves.
  bool leavingNoted(std::size_t Index) {
    return Store->value("chivebeam-server/node-" + std::to_string(Index))
               .find("\"state\":2") != std::string::npos;
  }
  asio::io_context &context() { return *Context; }

  /// Stores a configuration in which /SERVICE/ routes to each service as safe,
  /// and /pay/SERVICE/ as unsafe: such a call may run at most once.
  void configure(std::uint64_t Number, const std::vector<std::string> &Services,
                 double TimeoutS = 2.0);
  /// Sends a report of the backend server; returns the HTTP status.
  awaitable<unsigned> report(std::size_t Index, std::string State = "ready");
  awaitable<unsigned> leave(std::size_t Index);
  /// Sends a report of every backend server and waits until each node is ready
  /// and knows all of them.
  awaitable<void> ready();
  /// Sends a request to a node on a new connection; returns the answer.
  awaitable<std::optional<text_answer>> call(std::size_t Node,
                                             std::string Request);
  std::string get(std::string Path, std::string Id, int DeadlineMs = 2'000);
  std::string post(std::string Path, std::string Id, std::string Body,
                   int DeadlineMs = 2'000);

  /// Runs a test; fails it if it takes too long.
  void run(std::function<awaitable<void>()> Test);
  /// Waits until the condition holds; fails the test if it does not within a
  /// time limit.
  awaitable<void> until(std::function<bool()> Condition);
  /// Lets other work run for this time.
  awaitable<void> pause(milliseconds Time) { return sleepFor(Time); }

  double LinkBytesPerSecond = 0; ///< of nodes that are added after it is set
  /// Memory of nodes that are added after it is set.
  std::uint64_t MemoryBytes = 256 << 20;
  /// Of nodes that are added after they are set.
  unsigned MaxDescriptors = 1'024;
  hedge_limits Hedging;
  milliseconds Grace{6'000};
  /// Limits in configurations that are stored after they are set.
  double IdleTimeoutS = 15;
  std::uint64_t MaxBodyBytes = 1 << 20;
  std::uint64_t MaxHeaderBytes = 16 << 10;
  /// Known to nodes that are added after it is set.
  std::set<failure_domain> Domains;
  double ColdPerS = 0; ///< of all services; zero: not named

private:
  void startNode(std::size_t Index, mesh_settings Settings);
  scripted_worker::script serverOf(std::size_t Index);
  /// Ends the backend server; a new process of it starts after a while.
  awaitable<void> crashServer(std::size_t Index);

  std::unique_ptr<asio::io_context> Context;
  std::unique_ptr<stand_ins::platform_store> Store;
  std::vector<std::unique_ptr<mesh_worker>> Workers;
  std::vector<std::unique_ptr<mesh_node>> Nodes;
  std::vector<bool> Stopped;
};

} // namespace chivebeam::tests
