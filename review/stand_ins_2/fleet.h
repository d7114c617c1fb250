// A small deployment for a case: the store of the platform, backend servers,
// consumers, and one process of the program for each machine.
#pragma once

#include <condition_variable>
#include <fstream>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <sys/types.h>

#include "http.h"

namespace review {

using std::chrono::milliseconds;

/// Writes lines with the time since the start of the case to a file.
class recorder {
public:
  explicit recorder(const std::string &Path) : File(Path) {}
  void line(const std::string &Text);
  double seconds() const {
    return std::chrono::duration<double>(steady::now() - Started).count();
  }

private:
  std::mutex Mutex;
  std::ofstream File;
  steady::time_point Started = steady::now();
};

/// The platform's store. Thread safe.
class store {
public:
  explicit store(endpoint At);
  /// Writes like the operator.
  void put(const std::string &Key, const std::string &Value);
  std::string value(const std::string &Key);
  /// While the store is down, it answers 503 to all calls and does nothing.
  /// Leases pause meanwhile.
  void setDown(bool IsDown);
  /// Keeps a copy of what the store holds.
  void saveCopy();
  /// Comes back from the copy: what was written since is gone, leases too,
  /// revisions are given out again, and the era rises.
  void restoreCopy();
  /// Returns the revisions at which the keys with this prefix were written.
  std::vector<std::pair<std::string, std::uint64_t>>
  keys(const std::string &Prefix);

private:
  struct item {
    std::string Value;
    std::uint64_t Revision = 0, Created = 0, Lease = 0;
  };
  struct change {
    std::string Key;
    std::uint64_t Revision = 0;
    bool Removed = false;
    item Item;
  };
  struct lease {
    double Seconds = 0;
    steady::time_point Ends;
  };
  std::string handle(const message &Request);
  std::string watch(const std::string &Prefix, std::uint64_t After,
                    milliseconds Wait);
  std::string transact(const message &Request);
  std::string grant(const message &Request);
  void write(const std::string &Key, std::string Value, std::uint64_t Lease);
  void remove(const std::string &Key);
  void expireLeases();

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, item> Items;
  std::vector<change> History;
  std::map<std::uint64_t, lease> Leases;
  std::uint64_t Revision = 1, NextLease = 100;
  std::map<std::string, item> CopiedItems;
  std::uint64_t CopiedRevision = 1;
  bool Down = false;
  steady::time_point DownSince;
  std::unique_ptr<server> Server;
};

/// One request that reached a backend server.
struct arrival {
  double At = 0;
  std::string Id, Method, Target, Body, ExpectedInstance, CallerService, Deadline;
  bool Ran = false;
};

struct machine;

/// A backend server beside a node. Reports to its node as the pages say.
class worker {
public:
  /// Called for each request that runs; sends the answer on the connection.
  using behaviour = std::function<void(connection &, const message &)>;

  worker(recorder &Record, const machine &On, std::string Id,
         std::string Service, std::string Version = "v1", int Slots = 8);
  ~worker();
  /// Sets what is done with requests; by default they run for RunTime and are
  /// answered with 200.
  void setBehaviour(behaviour Behaviour);
  void startReports();
  void stopReports();
  /// The same without waiting for a report that is on its way.
  void stopReportsSoon() { Reporting = false; }
  /// Sends one status report; returns whether it was acknowledged in time.
  bool report(const std::string &State);
  /// Says that the server leaves for good; returns whether it was acknowledged.
  bool deregister();
  /// Sends no more answers or reports: the process is about to end.
  void silence() { Silenced = true, Reporting = false; }
  /// Ends the process: closes all connections.
  void crash();
  std::vector<arrival> arrivals();
  std::size_t running() const { return Running; }

  std::string Id, Service, Version, State = "ready";
  /// The server has said that it leaves, and says so in its answers.
  std::atomic<bool> Leaving{false};
  milliseconds RunTime{20};
  std::atomic<std::int64_t> Born;

private:
  void serve(connection &Connection);
  recorder &Record;
  const machine &On;
  int Slots;
  std::mutex Mutex;
  std::mutex ReportMutex;
  std::vector<arrival> Arrivals;
  behaviour Behaviour;
  std::atomic<int> Running{0};
  std::atomic<std::uint64_t> Sequence{0};
  std::atomic<bool> Reporting{false}, Ended{false}, Silenced{false};
  std::thread Reporter;
  std::unique_ptr<server> Server;
};

std::string signedAnswer(const message &Request, int Status,
                         const std::string &Body,
                         const std::string &MoreFields = "");

/// A machine with a node.
struct machine {
  std::string Name, Zone, Service, Ip;
  endpoint Application, Inbound, Outbound, Ready, Control;
  int PeerPort = 0;
};

/// Processes of the program, started as the deploy file says.
class fleet {
public:
  fleet(recorder &Record, std::string Program, std::string Folder);
  ~fleet();
  const machine &add(const std::string &Name, const std::string &Zone,
                     const std::string &Service);
  void start(const std::string &Name, bool FirstStart);
  void signal(const std::string &Name, int Number);
  /// Ends a process that was sent a signal and waits for its end.
  void kill(const std::string &Name);
  /// Stops a process like the platform: SIGTERM, and SIGKILL after the grace
  /// period. Waits for its end.
  void stop(const std::string &Name);
  /// Returns how a process ended by itself; empty while it runs.
  std::string endOf(const std::string &Name);
  /// Returns the memory of a process in MiB; zero if it has ended.
  long memoryMb(const std::string &Name) const;
  bool isReady(const std::string &Name);
  bool waitReady(milliseconds Timeout);
  /// Ends all processes, writes the result and ends this one.
  [[noreturn]] int finish(const std::string &Result, int Code);
  machine &of(const std::string &Name) { return *Machines.at(Name); }
  endpoint storeAddress() const { return Store; }

  double HeartbeatS = 0.87;
  long MemoryMb = 260; ///< limit of a process
  int MaxFileDescriptors = 4'100;

private:
  void endAll();
  std::string settings(const machine &On, bool FirstStart) const;
  recorder &Record;
  std::string Program, Folder;
  endpoint Store;
  std::string Net; ///< first three numbers of the addresses
  int NextHost = 10;
  std::map<std::string, std::unique_ptr<machine>> Machines;
  std::map<std::string, pid_t> Processes;
};

/// What a consumer got for one request.
struct outcome {
  read_end End = read_end::timeout;
  int Status = 0;
  message Answer;
  bool Connected = false;
  double SentAt = 0, EndedAt = 0;
};

std::string newId();

/// Sends one request like a consumer, on a connection of its own.
outcome request(recorder &Record, const machine &At, const std::string &Method,
                const std::string &Host, const std::string &Target,
                const std::string &Id, const std::string &Body = "",
                int DeadlineMs = 3000, bool Log = true);
/// The same on an open connection, which stays open.
outcome requestOn(connection &Connection, recorder &Record,
                  const std::string &Method, const std::string &Host,
                  const std::string &Target, const std::string &Id,
                  const std::string &Body, int DeadlineMs, bool Log = true);

struct route {
  std::string Name, Host, Prefix, Type, Service;
  double TimeoutS = 2;
  int MaxAttempts = 2;
};

std::string configText(int Version, const std::vector<std::string> &Services,
                       const std::vector<route> &Routes);

/// True unless the environment says TROUBLE=0.
bool withTrouble();
void sleepMs(int Millis);

} // namespace review
