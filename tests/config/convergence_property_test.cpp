// Checks on random schedules of publications, restarts, store outages, network
// partitions, and lost, duplicated or reordered messages that configuration
// numbers never decrease and that all nodes reach the newest valid
// configuration once the faults end.
#include <boost/test/unit_test.hpp>

#include <array>
#include <iostream>
#include <memory>

#include <rapidcheck.h>

#include "config/config_holder.h"
#include "config/join_barrier.h"
#include "config/source_fetch.h"

using namespace chivebeam;

namespace {

constexpr std::size_t NodeCount = 5;
constexpr std::uint64_t Seed = 20261204;
constexpr int ScheduleCount = 300;
constexpr std::size_t ScheduleLength = 400;
constexpr int SettlingRounds = 400;
constexpr milliseconds RoundTime{50};

const std::string Register = R"({
  "failure_domains": [{"name": "a", "region": "r"}],
  "services": [{"name": "kassa", "class": "payment", "workers": 3, "slots": 6,
                "version": "1.0", "versions": ["1.0"]}]})";

/// True if the publication is invalid; every third one does not compile.
bool isBad(std::uint64_t Number) { return Number % 3 == 0; }

config_source source(std::uint64_t Number) {
  std::string Service = isBad(Number) ? "missing" : "kassa";
  return {
      config_number(Number), publish_id(std::to_string(Number)), instant(),
      Register,
      R"({"routes": [{"name": "pay", "path_prefix": "/kassa/", "service": ")" +
          Service + R"(", "deadline_ms": )" + std::to_string(Number + 1'000) +
          "}]}"};
}

/// A node's configuration state and the components that decide about it.
struct model_node {
  std::uint64_t Generation = 0;
  config_holder Holder;
  join_barrier Barrier;
  source_fetch Fetch{0};
  bool Serving = false;
  config_number HighestSeen; ///< highest valid number received before serving
};

/// A message in transit to a node: a head, or the answer to a fetch request.
struct message {
  std::size_t To = 0;
  std::size_t From = 0;
  std::uint64_t Generation = 0; ///< of the requesting node; answers only
  config_head Head;
  std::optional<fetch_target> Request;
  std::optional<config_source> Source;
};

/// Models several nodes, the store and the network between them.
class fleet_model {
public:
  fleet_model() {
    for (std::size_t Index = 0; Index < NodeCount; ++Index)
      restart(Index);
  }

  /// Runs one step of a schedule; Choice selects the event and the nodes.
  void step(std::uint32_t Choice) {
    Now += milliseconds(20);
    std::size_t Node = Choice / 32 % NodeCount;
    std::size_t Peer = Choice / 256 % NodeCount;
    switch (Choice % 20) {
    case 0:
      ++Newest;
      break;
    case 1:
      StoreUp = !StoreUp;
      break;
    case 2:
      IsolatedNode = Choice / 256 % 3 == 0 ? Node : NodeCount;
      break;
    case 3:
      restart(Node);
      break;
    case 4:
    case 5:
      readStore(Node);
      break;
    case 6:
    case 7:
    case 8:
      sendHead(Node, Peer);
      break;
    case 9:
    case 10:
      fetch(Node);
      break;
    case 11:
      if (!Messages.empty())
        lose(pick(Choice));
      break;
    case 12:
      if (!Messages.empty())
        duplicate(pick(Choice));
      break;
    default:
      if (!Messages.empty())
        deliver(pick(Choice));
      break;
    }
    serveIfReady(Node);
    check();
  }

  /// Ends all faults, publishes a valid configuration and lets the nodes
  /// exchange messages until they should have converged.
  void settle() {
    IsolatedNode = NodeCount;
    StoreUp = true;
    Newest += isBad(Newest + 1) ? 2 : 1;
    readStore(0);
    for (int Round = 0; Round < SettlingRounds; ++Round) {
      Now += RoundTime;
      for (std::size_t Node = 0; Node < NodeCount; ++Node) {
        sendHead(Node,
                 (Node + 1 + static_cast<std::size_t>(Round)) % NodeCount);
        fetch(Node);
        serveIfReady(Node);
      }
      while (!Messages.empty())
        deliver(0);
      check();
    }
  }

  bool allAgree() const {
    for (const auto &Node : Nodes)
      if (Node->Holder.number().value() != Newest)
        return false;
    return true;
  }

private:
  std::ptrdiff_t pick(std::uint32_t Choice) const {
    return static_cast<std::ptrdiff_t>(Choice / 2'048 % Messages.size());
  }
  static address addressOf(std::size_t Index) {
    return {"127.0.0.1", static_cast<std::uint16_t>(Index + 1)};
  }
  bool connected(std::size_t Left, std::size_t Right) const {
    return Left != Right && Left != IsolatedNode && Right != IsolatedNode;
  }

  void restart(std::size_t Index) {
    auto Fresh = std::make_unique<model_node>();
    Fresh->Generation = ++LastGeneration;
    Fresh->Fetch = source_fetch(LastGeneration);
    LastNumbers[Index] = {};
    if (Index < Nodes.size())
      Nodes[Index] = std::move(Fresh);
    else
      Nodes.push_back(std::move(Fresh));
  }

  void readStore(std::size_t Index) {
    if (!StoreUp || Index == IsolatedNode)
      return;
    model_node &Node = *Nodes[Index];
    if (Newest > 0)
      Node.Holder.offer(source(Newest));
    Node.Barrier.storeAnswered(config_number(Newest), Now);
    recordSeen(Node, config_number(Newest));
  }

  static void recordSeen(model_node &Node, config_number Number) {
    if (!Node.Serving && !isBad(Number.value()))
      Node.HighestSeen = std::max(Node.HighestSeen, Number);
  }

  void sendHead(std::size_t From, std::size_t To) {
    if (connected(From, To))
      Messages.push_back({To, From, 0, Nodes[From]->Holder.head(), {}, {}});
  }

  void fetch(std::size_t Index) {
    model_node &Node = *Nodes[Index];
    std::optional<fetch_target> Target =
        Node.Fetch.next(Node.Holder.number(), Node.Holder.refusedNumber(), Now);
    if (!Target)
      return;
    std::size_t Holder = Target->Holder.Port - 1U;
    message Answer{Index, Holder, Node.Generation, {}, Target, {}};
    if (connected(Index, Holder) && Nodes[Holder]->Holder.current())
      Answer.Source = Nodes[Holder]->Holder.source();
    Messages.push_back(std::move(Answer));
  }

  /// Loses a message. A lost answer makes the request fail at its deadline.
  void lose(std::ptrdiff_t Position) {
    message &Message = Messages[static_cast<std::size_t>(Position)];
    if (!Message.Request) {
      Messages.erase(Messages.begin() + Position);
      return;
    }
    Message.Source.reset();
    deliver(Position);
  }

  /// Duplicates a head, which is sent as a datagram. An answer arrives over its
  /// own connection and can't be duplicated.
  void duplicate(std::ptrdiff_t Position) {
    message Copy = Messages[static_cast<std::size_t>(Position)];
    if (!Copy.Request)
      Messages.push_back(std::move(Copy));
  }

  void deliver(std::ptrdiff_t Position) {
    message Message = Messages[static_cast<std::size_t>(Position)];
    Messages.erase(Messages.begin() + Position);
    model_node &Node = *Nodes[Message.To];
    if (!Message.Request) {
      Node.Barrier.peerSeen(addressOf(Message.From), Message.Head.Number, Now);
      Node.Fetch.headSeen(Message.Head, addressOf(Message.From), Now);
      recordSeen(Node, Message.Head.Number);
      return;
    }
    if (Message.Generation != Node.Generation)
      return; // the requesting node has restarted; its connection is closed
    fetch_outcome Outcome = fetch_outcome::failed;
    if (Message.Source) {
      bool MatchesHead = Message.Source->Number == Message.Request->Head.Number;
      std::optional<config_digest> ExpectedDigest;
      if (MatchesHead)
        ExpectedDigest = Message.Request->Head.Digest;
      Outcome = Node.Holder.offer(*Message.Source, ExpectedDigest) ==
                        config_outcome::applied
                    ? fetch_outcome::taken
                    : fetch_outcome::not_used;
    }
    Node.Fetch.finished(*Message.Request, Outcome, Now);
  }

  void serveIfReady(std::size_t Index) {
    model_node &Node = *Nodes[Index];
    if (Node.Serving)
      return;
    std::optional<config_number> Floor =
        Node.Barrier.floor(Node.Holder.refusedNumber(), Now);
    if (!Floor)
      return;
    Node.Holder.setFloor(*Floor);
    if (!Node.Holder.ready())
      return;
    // A node does not start to serve with an older configuration than the
    // newest valid one whose number it has received, unless it refused that
    // one.
    RC_ASSERT(Node.Holder.number() >= Node.HighestSeen ||
              Node.HighestSeen == Node.Holder.refusedNumber());
    Node.Serving = true;
  }

  /// Checks that numbers never decrease and that every configuration in force
  /// is complete.
  void check() {
    for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
      const config_holder &Holder = Nodes[Index]->Holder;
      RC_ASSERT(Holder.number() >= LastNumbers[Index]);
      if (Holder.number() == LastNumbers[Index])
        continue;
      LastNumbers[Index] = Holder.number();
      checkComplete(*Holder.current());
    }
  }

  /// Checks that Config is a valid publication, has the expected digest and
  /// contains every service that its routes refer to.
  static void checkComplete(const snapshot &Config) {
    std::uint64_t Number = Config.number().value();
    RC_ASSERT(!isBad(Number));
    RC_ASSERT(Config.digest() == (*compile(source(Number)))->digest());
    for (const route_rule &Route : Config.routes()) {
      RC_ASSERT(Config.findService(Route.Service) != nullptr);
      RC_ASSERT(Route.Deadline ==
                milliseconds(static_cast<std::int64_t>(Number) + 1'000));
    }
  }

  instant Now{seconds(1'000)};
  std::vector<std::unique_ptr<model_node>> Nodes;
  std::array<config_number, NodeCount> LastNumbers{};
  std::vector<message> Messages;
  std::uint64_t Newest = 0;
  std::uint64_t LastGeneration = 0;
  std::size_t IsolatedNode = NodeCount; ///< NodeCount: none
  bool StoreUp = true;
};

/// Checks a property with a fixed seed; prints the counterexample if it fails.
template <typename Property> bool checkProperty(Property Check) {
  rc::detail::TestParams Parameters;
  Parameters.seed = Seed;
  Parameters.maxSuccess = ScheduleCount;
  Parameters.maxSize = 200;
  Parameters.disableShrinking =
      true; // shrinking a failure would exceed the time limit
  rc::detail::TestResult Result =
      rc::detail::checkTestable(Check, rc::detail::TestMetadata(), Parameters);
  bool Passed = Result.template is<rc::detail::SuccessResult>();
  if (!Passed)
    rc::detail::printResultMessage(Result, std::cerr);
  return Passed;
}

void run(const std::vector<std::uint32_t> &Schedule) {
  fleet_model Fleet;
  for (std::uint32_t Choice : Schedule)
    Fleet.step(Choice);
  Fleet.settle();
  RC_ASSERT(Fleet.allAgree());
}

} // namespace

BOOST_AUTO_TEST_CASE(configurations_converge_after_short_schedules) {
  BOOST_TEST(checkProperty(run));
}

BOOST_AUTO_TEST_CASE(configurations_converge_after_long_schedules) {
  BOOST_TEST(checkProperty([] {
    run(*rc::gen::container<std::vector<std::uint32_t>>(
        ScheduleLength, rc::gen::arbitrary<std::uint32_t>()));
  }));
}
