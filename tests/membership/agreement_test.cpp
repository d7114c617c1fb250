// Applies random sequences of faults and checks that all running nodes agree on
// the membership once the faults end.

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "stand_ins/gossip_loop.h"

using namespace chivebeam;
using namespace chivebeam::stand_ins;

namespace {

constexpr std::size_t FleetSize = 10;
const std::vector<std::size_t> Contacts{0, 1};

member_record makeRecord(std::size_t Index) {
  member_record Record;
  Record.Node = node_id("node-" + std::to_string(Index));
  Record.Incarnation = incarnation(1'000);
  return Record;
}

/// One fault of a schedule. A kind does not use every field.
struct fault {
  unsigned Kind = 0;
  std::size_t Node = 0;
  unsigned Amount = 0;
};

void showValue(const fault &Fault, std::ostream &Out) {
  Out << "fault " << Fault.Kind << " at " << Fault.Node << " by "
      << Fault.Amount;
}

/// Applies faults to a fleet and checks the invariants after each fault.
class fault_schedule {
public:
  explicit fault_schedule(std::uint64_t Seed)
      : Loop(membership_settings(), Seed) {
    for (std::size_t Node = 0; Node < FleetSize; ++Node)
      Loop.add(makeRecord(Node), Contacts);
    Loop.run(seconds(5));
  }

  void apply(const fault &Fault) {
    switch (Fault.Kind) {
    case 0:
      Loop.quality().Loss = Fault.Amount / 100.0;
      break;
    case 1:
      Loop.quality().Duplicate = Fault.Amount / 100.0;
      break;
    case 2: // messages arrive out of order
      Loop.quality().MaxDelay = milliseconds(3 + Fault.Amount * 10);
      break;
    case 3:
      Loop.stop(Fault.Node);
      break;
    case 4: // sometimes with a lower incarnation, as if the clock were behind
      Loop.restart(Fault.Node, incarnation(Fault.Amount * 40 + 1), Contacts);
      break;
    case 5:
      Loop.setFilter([Fault](std::size_t From, std::size_t To) {
        return (From < Fault.Node) == (To < Fault.Node);
      });
      break;
    default: // drops messages in one direction only
      Loop.setFilter([Fault](std::size_t From, std::size_t) {
        return From != Fault.Node;
      });
    }
    Loop.run(milliseconds(200 + Fault.Amount * 100));
    checkOwnRecords();
  }

  bool agreesAfterFaults() {
    Loop.quality() = link_quality();
    Loop.setFilter({});
    return Loop.runUntil([this] { return Loop.agrees(); }, seconds(180))
        .has_value();
  }

  /// Checks that no node replaced its own record by one from another node.
  void checkOwnRecords() {
    for (std::size_t Node = 0; Node < FleetSize; ++Node) {
      const member_record &Self = Loop.node(Node).self();
      const member_record *Listed = Loop.node(Node).table().find(Self.Node);
      RC_ASSERT(Listed != nullptr);
      RC_ASSERT(*Listed == Self);
      RC_ASSERT(Self.State == member_state::alive);
      RC_ASSERT(Self.Peer.Port == Node + 1);
    }
  }

private:
  gossip_loop Loop;
};

} // namespace

namespace rc {
template <> struct Arbitrary<fault> {
  static Gen<fault> arbitrary() {
    return gen::build<fault>(
        gen::set(&fault::Kind, gen::inRange(0U, 7U)),
        gen::set(&fault::Node, gen::inRange<std::size_t>(0, FleetSize)),
        gen::set(&fault::Amount, gen::inRange(0U, 50U)));
  }
};
} // namespace rc

BOOST_AUTO_TEST_CASE(running_nodes_agree_once_faults_end) {
  rc::detail::TestParams Params;
  Params.seed = 4711;
  Params.maxSuccess = 60;
  Params.maxSize = 20;
  rc::detail::TestMetadata Metadata;
  Metadata.id = "membership agreement";
  auto Result = rc::detail::checkTestable(
      [](const std::vector<fault> &Faults, std::uint64_t Seed) {
        fault_schedule Schedule(Seed);
        for (const fault &Fault : Faults)
          Schedule.apply(Fault);
        RC_ASSERT(Schedule.agreesAfterFaults());
        Schedule.checkOwnRecords();
      },
      Metadata, Params);
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  BOOST_TEST_MESSAGE(Text.str());
  BOOST_CHECK_MESSAGE(Result.template is<rc::detail::SuccessResult>(),
                      Text.str());
}
