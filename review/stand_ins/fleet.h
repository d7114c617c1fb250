// Stand-ins for the users' platform, its store, its servers and its consumers,
// and the project's own nodes as processes. Everything of a case but the nodes
// runs in one process, on one thread and on loopback addresses.
#pragma once

#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using asio::awaitable;
using error_code = boost::system::error_code;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;
using text_request = http::request<http::string_body>;
using text_response = http::response<http::string_body>;

inline auto orError(error_code &Code) {
  return asio::redirect_error(asio::use_awaitable, Code);
}

/// False if the case is run without its disruption.
bool withTrouble();

/// Milliseconds since 1970, as servers state their start.
std::int64_t unixMillis();

/// Seconds since the start of the case.
double elapsed();

/// Appends lines to record.txt.
class recorder {
public:
  explicit recorder(const std::string &Path);
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3)));

private:
  std::FILE *File;
};

struct endpoint {
  std::string Ip;
  std::uint16_t Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
  tcp::endpoint at() const { return {asio::ip::make_address(Ip), Port}; }
};

/// Returns a port that is free on the address.
std::uint16_t freePort(asio::io_context &Context, const std::string &Ip);

awaitable<void> pause(milliseconds Time);

/// The platform's metadata store, as PROTOCOL.md describes it.
class store {
public:
  store(asio::io_context &Context, const std::string &Ip);
  const endpoint &address() const { return At; }
  void put(const std::string &Key, const std::string &Value);
  std::string value(const std::string &Key) const;
  /// While it is away, connections are reset and nothing is done.
  void setAway(bool IsAway);
  /// Keeps a copy of all items.
  void saveCopy();
  /// Comes back from the copy: later writes and all leases are gone, revisions
  /// go back and the era rises.
  void restoreCopy();

private:
  struct item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct change {
    std::string Key;
    std::uint64_t Revision = 0;
    bool Removed = false;
    item Item;
  };
  struct lease {
    std::int64_t TtlS = 0;
    clock_type::time_point Ends;
  };

  awaitable<void> accept();
  awaitable<void> serve(std::shared_ptr<tcp::socket> Socket);
  awaitable<std::optional<text_response>> answer(const text_request &Request);
  awaitable<text_response> watch(std::string Prefix, std::uint64_t After,
                                 milliseconds Wait);
  text_response key(const std::string &Key) const;
  text_response range(const std::string &Prefix,
                      const std::string &After) const;
  text_response transact(const json::object &Body);
  void write(const std::string &Key, std::string Value, std::uint64_t Lease);
  void remove(const std::string &Key);
  void endLease(std::uint64_t Id);
  void expireLeases();

  asio::io_context &Context;
  endpoint At;
  tcp::acceptor Acceptor;
  std::set<std::shared_ptr<tcp::socket>> Open;
  std::map<std::string, item> Items;
  std::vector<change> History;
  std::map<std::uint64_t, lease> Leases;
  std::uint64_t Revision = 1;
  std::uint64_t NextLease = 100;
  std::uint64_t Era = 1;
  std::map<std::string, item> CopiedItems;
  std::uint64_t CopiedRevision = 1;
  bool Away = false;
};

/// A server (worker) of the platform.
class server {
public:
  /// Runs a request that has arrived on the socket and answers it.
  using script =
      std::function<awaitable<void>(server &, tcp::socket &, text_request)>;

  server(asio::io_context &Context, std::string Service, std::string Zone,
         endpoint At, endpoint Control, unsigned Slots, milliseconds Beat);
  /// Starts to serve and to report.
  void start();
  /// Closes all connections and refuses new ones, as an ended process does.
  void crash();
  /// Says that it leaves, without a report before; returns the status of the
  /// acknowledgement.
  awaitable<unsigned> leaveWithoutNotice();
  /// Answers with status 200 and a signature.
  awaitable<void> answerWell(tcp::socket &Socket, const text_request &Request,
                             std::string Body = "done");

  std::string Id;
  std::string Service;
  std::string Version = "v1";
  std::int64_t StartedAtMs = 0;
  script Script;
  unsigned Starts = 0;
  /// True once it has said that it leaves; its answers say so too.
  bool Leaving = false;

private:
  awaitable<void> accept(std::shared_ptr<tcp::acceptor> Acceptor);
  awaitable<void> serve(std::shared_ptr<tcp::socket> Socket);
  awaitable<void> report();
  awaitable<unsigned> tell(std::string Method, json::object Body);

  asio::io_context &Context;
  std::string Zone;
  endpoint At;
  endpoint Control;
  unsigned Slots;
  milliseconds Beat;
  std::uint64_t Sequence = 0;
  bool Reporting = false;
  std::shared_ptr<tcp::acceptor> Acceptor;
  std::set<std::shared_ptr<tcp::socket>> Open;
};

/// What a consumer saw of one request.
struct outcome {
  bool Answered = false;
  unsigned Status = 0;
  bool Signed = false;
  std::string Body;
  double SentAt = 0;
  double EndedAt = 0;
};

struct consumer_request {
  std::string Method = "GET";
  std::string Host;
  std::string Path;
  std::string Id;
  unsigned DeadlineMs = 1000;
  std::string Body;
  bool Chunked = false;
  /// Bytes a second at which the body is sent; zero: as fast as possible.
  double BytesPerSecond = 0;
};

/// Sends one request on a connection of its own and reads the answer.
awaitable<outcome> sendRequest(endpoint To, consumer_request Request);

/// A process of the project, beside one server.
class node {
public:
  node(asio::io_context &Context, std::string Name, std::string Ip,
       std::string Service, std::string Zone, endpoint Store,
       std::string Directory);
  ~node();
  /// Starts the process with the command of deploy/system.toml.
  void start(bool FirstStart);
  void signal(int Number);
  /// Ends the process with SIGKILL and waits for it.
  void kill();
  /// True if the process has ended without a signal of the case.
  bool hasEnded();
  std::size_t memoryBytes() const;
  awaitable<bool> isReady() const;

  std::string Name;
  std::string Ip;
  std::string Service;
  std::string Zone;
  endpoint Outbound, Ready, Control, Application;
  unsigned MemoryMb = 260;
  milliseconds Beat{1500};

private:
  void writeSettings(bool FirstStart) const;

  endpoint Inbound;
  std::uint16_t PeerPort = 0;
  endpoint Store;
  std::string Directory;
  pid_t Process = 0;
};

/// A deployment: the store, and machines with a node and a server each.
class fleet {
public:
  explicit fleet(const std::string &CaseDirectory);
  ~fleet();
  struct machine {
    std::unique_ptr<node> Node;
    std::unique_ptr<server> Server;
  };
  machine &add(const std::string &Service, const std::string &Zone,
               unsigned Slots);
  void configure(json::array Services, json::array Hosts);
  /// Starts everything and waits until each node is ready and knows of the
  /// servers.
  awaitable<bool> start();
  /// Runs the case; returns its exit code.
  int run(std::function<awaitable<int>()> Play);

  asio::io_context Context{1};
  std::string Directory;
  recorder Record;
  std::unique_ptr<store> Store;
  std::vector<std::unique_ptr<machine>> Machines;

private:
  std::string Temporary;
  std::string IpPrefix;
};

json::object service(const std::string &Name);
json::object route(const std::string &Name, const std::string &Prefix,
                   const std::string &Type, const std::string &Service,
                   double TimeoutS, double TargetS, unsigned MaxAttempts);

} // namespace review
