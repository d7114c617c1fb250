#pragma once

#include <sys/types.h>

#include <boost/test/unit_test.hpp>

#include "stand_ins/platform_store.h"
#include "stand_ins/scripted_http.h"

namespace chivebeam::tests {

/// Where a client of a node may come.
enum class door { route, no_route, ready, metrics, reports };

inline constexpr std::array AllDoors{door::route, door::no_route, door::ready,
                                     door::metrics, door::reports};

/// Limits that the settings and the configuration of a node state.
struct stated_limits {
  unsigned MemoryMb = 64;
  /// The platform keeps 200 of them for files.
  unsigned MaxDescriptors = 600;
  std::uint64_t MaxBodyBytes = 4 << 20;
};

/// What each client of a crowd sends before it stays open.
struct crowd_client {
  std::string Head;
  std::string Piece = ""; ///< sent Pieces times
  std::size_t Pieces = 0;
  std::string Tail = "";
  /// Before each piece. Without a pause all is sent as fast as it is taken.
  milliseconds Pause{0};
  /// Bytes that are read after each piece; the rest is never read.
  std::size_t ReadBytes = 0;
};

/// A process of the node beside stand-ins of the store and of its backend
/// server, and a crowd of clients.
class doors_fixture {
public:
  explicit doors_fixture(stated_limits Limits = {});
  ~doors_fixture();

  /// Sends a crowd to a door of a new process, and checks that the process
  /// lives, that its memory and its descriptors stay below the stated limits
  /// and that it answers an ordinary request and probes while the crowd is
  /// there, and another request when it has left.
  void check(door At, const crowd_client &Client, unsigned Count);
  /// Sends one request in calm and returns the status of its answer.
  unsigned checkOne(crowd_client Request);

  /// Returns the start line and the first fields of a request to a door.
  static std::string head(door At, const std::string &Method = "POST",
                          const std::string &RoutePath = "/api/ok");

private:
  address addressOf(door At) const;
  void writeFiles();
  void startProcess();
  void run(std::function<awaitable<void>()> Test);
  scripted_worker::script server();
  awaitable<void> report();
  awaitable<void> ready();
  awaitable<void> sample();
  awaitable<void> join(door At, std::shared_ptr<const crowd_client> Client);
  /// Waits until nothing moves any more.
  awaitable<void> settle();
  /// Returns the status of the answer to an ordinary request; 0 if none came.
  awaitable<unsigned> ordinaryCall();
  /// Returns the status of the answer to a request at the readiness, metrics
  /// or reports; 0 if none came.
  awaitable<unsigned> probe(door At);
  awaitable<unsigned> statusOf(door At, std::string Request);
  void checkBounds();

  asio::io_context Context{1};
  stated_limits Limits;
  std::string Ip;
  std::string Directory;
  stand_ins::platform_store Store;
  scripted_worker Server;
  pid_t Process = 0;
  std::vector<std::shared_ptr<tcp::socket>> Crowd;
  std::uint64_t Moved = 0; ///< rises with each step of a client or the server
  std::size_t PeakBytes = 0;
  std::size_t PeakDescriptors = 0;
};

} // namespace chivebeam::tests
