#pragma once

#include <algorithm>
#include <cmath>

#include "base/random.h"
#include "net/clock.h"
#include "net/http_client.h"

namespace chivebeam::bench {

/// Results of one run of load.
struct load_result {
  std::uint64_t Offered = 0;
  std::uint64_t Good = 0;   ///< answered 200 within a second of their arrival
  std::uint64_t NotRun = 0; ///< refused with outcome not-run
  std::uint64_t Other = 0;  ///< any other outcome, including errors
  double Seconds = 0;
  std::vector<double> Micros; ///< latencies of good calls, from arrival

  double goodput() const { return static_cast<double>(Good) / Seconds; }
  /// Sorts Micros and returns a quantile of the latency in milliseconds.
  double quantile(double Share) {
    if (Micros.empty())
      return 0;
    std::sort(Micros.begin(), Micros.end());
    auto Index = static_cast<std::size_t>(
        Share * static_cast<double>(Micros.size() - 1));
    return Micros[Index] / 1'000;
  }
};

/// Sends calls to servers round robin over keep-alive connections. Runs on its
/// own io_context; not thread safe.
class load_generator {
public:
  load_generator(std::vector<address> Servers, std::string Path)
      : Targets(std::move(Servers)), Target(std::move(Path)),
        IdleClients(Targets.size()) {}

  /// Open loop: calls arrive at random times from a fixed seed, independent of
  /// when earlier calls end. Latency is measured from the arrival time, so it
  /// includes waiting in the generator.
  load_result runOpenLoop(double PerSecond, seconds Time) {
    asio::io_context Context;
    Result = load_result();
    asio::co_spawn(Context, generateArrivals(Context, PerSecond, Time),
                   asio::detached);
    instant Started = currentTime();
    Context.run();
    Result.Seconds = std::chrono::duration<double>(Time).count();
    if (currentTime() - Started > Time * 2)
      Result.Seconds =
          std::chrono::duration<double>(currentTime() - Started).count();
    closeConnections();
    return Result;
  }
  /// Closed loop: each of the callers sends its next call after an answer.
  load_result runClosedLoop(unsigned Callers, seconds Time) {
    asio::io_context Context;
    Result = load_result();
    instant End = currentTime() + Time;
    for (unsigned Caller = 0; Caller < Callers; ++Caller)
      asio::co_spawn(Context, callInLoop(Caller, End), asio::detached);
    Context.run();
    Result.Seconds = std::chrono::duration<double>(Time).count();
    closeConnections();
    return Result;
  }

private:
  static constexpr milliseconds CallTimeout{3'000};
  static constexpr milliseconds MaxUsefulLatency{1'000};
  static constexpr unsigned MaxOpenCalls = 8'000;

  void closeConnections() {
    for (auto &Clients : IdleClients)
      Clients.clear();
  }

  awaitable<void> generateArrivals(asio::io_context &Context, double PerSecond,
                                   seconds Time) {
    random_source Random(11);
    instant Start = currentTime();
    double At = 0;
    double End = std::chrono::duration<double>(Time).count();
    std::size_t CallNumber = 0;
    for (;;) {
      At += -std::log(1 - Random.unit()) / PerSecond;
      if (At > End)
        co_return;
      instant Arrival =
          Start + microseconds(static_cast<std::int64_t>(At * 1e6));
      instant Now = currentTime();
      if (Arrival > Now)
        co_await sleepFor(Arrival - Now);
      ++Result.Offered;
      if (OpenCalls >= MaxOpenCalls) {
        ++Result.Other;
        continue;
      }
      asio::co_spawn(Context, sendCall(CallNumber++ % Targets.size(), Arrival),
                     asio::detached);
    }
  }

  awaitable<void> callInLoop(std::size_t Caller, instant End) {
    for (instant Now = currentTime(); Now < End; Now = currentTime()) {
      ++Result.Offered;
      co_await sendCall(Caller % Targets.size(), Now);
    }
  }

  awaitable<void> sendCall(std::size_t Server, instant Arrival) {
    ++OpenCalls;
    std::unique_ptr<http_client> Client;
    if (IdleClients[Server].empty()) {
      Client = std::make_unique<http_client>(Targets[Server], 1 << 20);
    } else {
      Client = std::move(IdleClients[Server].back());
      IdleClients[Server].pop_back();
    }
    http_request Request = makeRequest(http::verb::get, Target, "");
    result<http_response> Answer =
        co_await Client->call(std::move(Request), CallTimeout);
    --OpenCalls;
    count(Answer, currentTime() - Arrival);
    if (Answer)
      IdleClients[Server].push_back(std::move(Client));
  }

  void count(const result<http_response> &Answer, microseconds Latency) {
    if (Answer && Answer->result() == http::status::ok &&
        Latency <= MaxUsefulLatency) {
      ++Result.Good;
      Result.Micros.push_back(static_cast<double>(Latency.count()));
    } else if (Answer && (*Answer)["Chivebeam-Outcome"] == "not-run") {
      ++Result.NotRun;
    } else {
      ++Result.Other;
    }
  }

  std::vector<address> Targets;
  std::string Target;
  std::vector<std::vector<std::unique_ptr<http_client>>> IdleClients;
  load_result Result;
  unsigned OpenCalls = 0;
};

} // namespace chivebeam::bench
