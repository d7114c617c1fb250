#include "node/node_process.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include "moves/sequential_evaluator.h"
#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr std::size_t CommandQueueSize = 1'024;
constexpr std::size_t OutcomeQueueSize = 16'384;
constexpr milliseconds StoreCallTimeout{2'000};
/// A claim request that does not fit in the queue is refused, and its call does
/// not run.
constexpr std::size_t ClaimQueueSize = 4'096;
/// Claims are refused after two store calls in a row that time out.
constexpr milliseconds ClaimStoreTimeout{400};

} // namespace

node_process::node_process(node_settings NodeSettings)
    : Settings(std::move(NodeSettings)),
      Evaluator(std::make_unique<sequential_evaluator>()), Decider(*Evaluator),
      DataCommands(DataContext, CommandQueueSize),
      DataEvents(ControlContext, OutcomeQueueSize),
      StoreCommands(StoreContext, CommandQueueSize),
      StoreEvents(ControlContext, CommandQueueSize),
      ClaimCommands(StoreContext, ClaimQueueSize),
      ClaimReplies(ControlContext, 2 * ClaimQueueSize),
      SessionStore(Settings.Store, StoreCallTimeout),
      CommitStore(Settings.Store, StoreCallTimeout),
      ClaimStore(Settings.Store, ClaimStoreTimeout) {}

void node_process::connectQueues() {
  DataCommands.onMessage(
      [this](data_command &&Command) { Data->handle(std::move(Command)); });
  DataEvents.onMessage(
      [this](data_event &&Event) { Control->handleData(std::move(Event)); });
  StoreCommands.onMessage(
      [this](store_command &&Command) { Store->handle(std::move(Command)); });
  StoreEvents.onMessage(
      [this](store_event &&Event) { Control->handleStore(std::move(Event)); });
  ClaimCommands.onMessage(
      [this](claim_command &&Command) { Claims->handle(std::move(Command)); });
  ClaimReplies.onMessage(
      [this](claim_reply &&Reply) { Control->handleClaims(Reply); });
}

void node_process::startClaims() {
  std::uint64_t Seed =
      std::hash<std::string>()(Settings.Node.str()) ^
      static_cast<std::uint64_t>(currentTime().time_since_epoch().count());
  Claims = std::make_unique<claim_event_loop>(
      StoreContext, ClaimStore, Settings.Fleet, Seed,
      [this](claim_reply Reply) { ClaimReplies.send(Reply); });
  Claims->start();
}

result<void> node_process::start() {
  connectQueues();
  Data = std::make_unique<data_plane>(
      DataContext, Settings, Views,
      [this](data_event Event) { DataEvents.send(std::move(Event)); });
  control_plane::outputs Outputs;
  Outputs.ToData = [this](data_command Command) {
    DataCommands.send(std::move(Command));
  };
  Outputs.ToStore = [this](store_command Command) {
    StoreCommands.send(std::move(Command));
  };
  Outputs.ToClaims = [this](claim_command Command) {
    return ClaimCommands.send(std::move(Command));
  };
  Outputs.Stopped = [this] { stopAll(); };
  Control = std::make_unique<control_plane>(ControlContext, Settings, Views,
                                            Decider, std::move(Outputs));
  result<address> Relay = Data->openRelay();
  if (!Relay)
    return tl::unexpected(Relay.error());
  result<void> Started = Control->start(Relay->Port);
  if (!Started)
    return Started;
  store_identity Identity{Settings.Fleet, Settings.Node, Settings.Domain,
                          Control->peerAddress()};
  Store = std::make_unique<store_event_loop>(
      StoreContext, SessionStore, CommitStore, std::move(Identity),
      [this](store_event Event) { StoreEvents.send(std::move(Event)); });
  Store->start();
  startClaims();
  log_event("node_started")
      .add("node", Settings.Node)
      .add("peer", Control->peerAddress().text())
      .add("control", Control->controlAddress().text());
  for (asio::io_context *Context :
       {&DataContext, &StoreContext, &ControlContext})
    Threads.emplace_back([this, Context] { runEventLoop(*Context); });
  return {};
}

void node_process::runEventLoop(asio::io_context &Context) {
  auto Guard = asio::make_work_guard(Context);
  if (&Context != &ControlContext) {
    Context.run();
    return;
  }
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([this](error_code Code, int) {
    if (!Code)
      Control->beginStop();
  });
  Context.run();
}

void node_process::stopAll() {
  log_event("node_stopped").add("node", Settings.Node);
  DataContext.stop();
  StoreContext.stop();
  ControlContext.stop();
}

void node_process::wait() {
  for (std::thread &Thread : Threads)
    Thread.join();
}

} // namespace chivebeam
