#include "claims/claim_event_loop.h"

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

claim_event_loop::claim_event_loop(asio::io_context &IoContext,
                                   config_store &ConfigStore,
                                   fleet_name FleetName,
                                   std::uint64_t InitialSeed,
                                   reply_sink ReplySink)
    : Context(IoContext), Store(ConfigStore), Fleet(std::move(FleetName)),
      Seed(InitialSeed), Sink(std::move(ReplySink)), Wake(IoContext) {}

void claim_event_loop::start() {
  asio::co_spawn(Context, run(), asio::detached);
}

claim_event_loop::owned_log &
claim_event_loop::logOf(const service_name &Service) {
  auto Found = Logs.find(Service);
  if (Found != Logs.end())
    return Found->second;
  claim_limits Limits;
  auto Retention = std::chrono::duration_cast<seconds>(Limits.Retention);
  owned_log New{claim_shard(Limits, Seed),
                claim_log_store(Store, Fleet, Service, Retention)};
  return Logs.emplace(Service, std::move(New)).first->second;
}

void claim_event_loop::handle(claim_command Command) {
  owned_log &Owned = logOf(Command.Message.Service);
  if (Owned.Ownership != Command.Ownership)
    Owned.Shard.requireReload();
  Owned.Ownership = Command.Ownership;
  Owned.Shard.setCommitInterval(Command.CommitInterval);
  instant Now = currentTime();
  if (auto *Ask =
          std::get_if<relative_claim_request>(&Command.Message.Content)) {
    Ask->Request.RunsUntil = Now + Ask->RunsFor;
    Ask->Request.WaitUntil = Now + Ask->WaitFor;
    Owned.Shard.ask(Command.Ticket, Ask->Request, Now);
  } else {
    Owned.Shard.end(std::get<claim_end>(Command.Message.Content), Now);
  }
  deliverReplies(Owned);
  WakeRequested = true;
  Wake.cancel();
}

void claim_event_loop::deliverReplies(owned_log &Owned) {
  for (claim_reply &Reply : Owned.Shard.takeReplies())
    Sink(Reply);
}

awaitable<void> claim_event_loop::run() {
  for (;;) {
    WakeRequested = false;
    instant Next = currentTime() + seconds(1);
    for (auto &[Service, Owned] : Logs)
      Next = std::min(Next, co_await runDueSteps(Owned));
    if (WakeRequested)
      continue;
    Wake.expires_after(Next - currentTime());
    error_code Ignored;
    co_await Wake.async_wait(orError(Ignored));
  }
}

awaitable<instant> claim_event_loop::runDueSteps(owned_log &Owned) {
  Owned.Shard.tick(currentTime());
  deliverReplies(Owned);
  while (std::optional<log_step> Step = Owned.Shard.nextStep(currentTime())) {
    bool Failing = Owned.Shard.isStoreFailing();
    co_await runStep(Owned, *Step);
    if (Owned.Shard.isStoreFailing() != Failing)
      log_event("claim_log").add("store_failing", !Failing);
    deliverReplies(Owned);
  }
  co_return Owned.Shard.nextWakeTime(currentTime());
}

awaitable<void> claim_event_loop::runStep(owned_log &Owned,
                                          const log_step &Step) {
  if (Step.Kind == log_step_kind::load) {
    std::optional<claim_log> Log = co_await Owned.Log.load();
    Owned.Shard.loadEnded(Log, currentTime());
    log_event("claim_log_loaded")
        .add("done", Log.has_value())
        .add("claims", Owned.Shard.claims());
  } else if (Step.Kind == log_step_kind::commit) {
    auto Result =
        co_await Owned.Log.commit(Step.Segment, Step.Head, currentTime());
    Owned.Shard.commitEnded(Result.End, Result.Head, currentTime());
  } else {
    std::optional<read_back_result> Found =
        co_await Owned.Log.readBack(Step.Segment.Sequence);
    Owned.Shard.readBackEnded(Found, currentTime());
  }
}

} // namespace chivebeam
