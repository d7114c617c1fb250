// Measures the owner of one claim log with a store on loopback: latency of a
// claim and number of store calls, at several rates of payments.

#include <algorithm>
#include <cstdio>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>

#include "claims/claim_event_loop.h"
#include "net/clock.h"
#include "stand_ins/store_stand_in.h"
#include "store/gateway_store.h"

using namespace chivebeam;

namespace {

constexpr milliseconds StoreDelay{3};
constexpr milliseconds StoreTimeout{400};
constexpr seconds RunLength{3};
constexpr milliseconds SettleTime{500};
constexpr seconds AnswerTimeout{5};
constexpr std::uint64_t Seed = 1;
constexpr int FleetCommitsPerSecond = 36;

struct measurement {
  std::vector<double> Millis; ///< of granted claims
  std::size_t Refused = 0;
};

/// Sends claims at a constant rate and records the latency of each answer.
class claim_load {
public:
  claim_load(asio::io_context &IoContext, address Store, int Logs)
      : Context(IoContext), Client({std::move(Store)}, StoreTimeout),
        Interval(microseconds(seconds(1)) * Logs / FleetCommitsPerSecond),
        EventLoop(Context, Client, fleet_name("bench"), Seed,
                  [this](claim_reply Reply) { recordReply(Reply); }) {
    EventLoop.start();
  }

  awaitable<void> run(int Rate) {
    sendClaim();
    co_await sleepFor(SettleTime);
    Result = {};
    instant Start = currentTime();
    for (int Sent = 0; Sent < Rate * RunLength.count(); ++Sent) {
      instant Due = Start + microseconds(seconds(1)) * Sent / Rate;
      if (Due > currentTime())
        co_await sleepFor(Due - currentTime());
      sendClaim();
    }
    co_await sleepFor(SettleTime);
  }
  const measurement &result() const { return Result; }

private:
  void sendClaim() {
    Ticket = Ticket.next();
    claim_command Command;
    Command.Ticket = Ticket;
    Command.Ownership = 1;
    Command.CommitInterval = Interval;
    relative_claim_request ClaimRequest;
    ClaimRequest.Request.Id =
        claim_id("bench-" + std::to_string(Ticket.value()));
    ClaimRequest.Request.Key = {0, Ticket.value()};
    ClaimRequest.RunsFor = AnswerTimeout;
    ClaimRequest.WaitFor = AnswerTimeout;
    Command.Message = {fleet_name("bench"), service_name("kassa"),
                       ClaimRequest};
    SentAt[Ticket] = currentTime();
    EventLoop.handle(std::move(Command));
  }
  void recordReply(const claim_reply &Reply) {
    microseconds Latency = currentTime() - SentAt[Reply.Ticket];
    SentAt.erase(Reply.Ticket);
    if (Reply.Answer.Verdict == claim_verdict::granted)
      Result.Millis.push_back(static_cast<double>(Latency.count()) / 1e3);
    else
      ++Result.Refused;
  }

  asio::io_context &Context;
  gateway_store Client;
  microseconds Interval;
  claim_event_loop EventLoop;
  claim_ticket Ticket;
  std::map<claim_ticket, instant> SentAt;
  measurement Result;
};

double quantile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

void measure(int Logs, int Rate) {
  asio::io_context StoreContext;
  stand_ins::store_stand_in Store(StoreContext);
  Store.switches().SlowMs = StoreDelay.count();
  result<address> Bound = Store.listen({"127.0.0.1", 0});
  if (!Bound)
    return;
  std::thread StoreThread([&] { StoreContext.run(); });
  asio::io_context Context;
  claim_load Load(Context, *Bound, Logs);
  std::uint64_t CallsBefore = Store.calls();
  asio::co_spawn(Context, Load.run(Rate),
                 [&](const std::exception_ptr &) { Context.stop(); });
  Context.run();
  StoreContext.stop();
  StoreThread.join();
  std::vector<double> Millis = Load.result().Millis;
  std::sort(Millis.begin(), Millis.end());
  double Calls = static_cast<double>(Store.calls() - CallsBefore) /
                 static_cast<double>(RunLength.count());
  std::printf("%5d %10d %9zu %8zu %8.1f %8.1f %8.1f %14.1f\n", Logs, Rate,
              Millis.size(), Load.result().Refused, quantile(Millis, 0.5),
              quantile(Millis, 0.99), Millis.empty() ? 0 : Millis.back(),
              Calls);
}

} // namespace

int main() {
  std::printf("store delay: %d ms\n", static_cast<int>(StoreDelay.count()));
  std::printf("%5s %10s %9s %8s %8s %8s %8s %14s\n", "logs", "payments/s",
              "granted", "refused", "p50 ms", "p99 ms", "max ms",
              "store calls/s");
  for (int Logs : {1, 3, 23})
    for (int Rate : {5, 50, 500, 2'000})
      measure(Logs, Rate);
  return 0;
}
