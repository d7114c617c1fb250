#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/lockfree/spsc_queue.hpp>

namespace chivebeam {

/// Writes log lines through easylogging++ on the telemetry thread. Each logging
/// thread has its own ring buffer of fixed capacity; if it is full, the line is
/// dropped and counted. Thread safe.
class log_writer {
public:
  static log_writer &instance();

  /// Starts the telemetry thread. Lines submitted earlier stay in their ring
  /// buffers until then.
  void start();
  /// Writes the remaining lines and stops the thread.
  void stop();
  void submit(const std::string &Line);
  std::uint64_t dropped() const { return Dropped.load(); }

private:
  static constexpr std::size_t RingCapacity = 4096;
  using ring = boost::lockfree::spsc_queue<std::string>;

  log_writer() = default;
  ring &ringOfCurrentThread();
  bool drain();
  void run();

  std::mutex RingsMutex;
  std::vector<std::shared_ptr<ring>> Rings;
  std::atomic<std::uint64_t> Dropped{0};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace chivebeam
