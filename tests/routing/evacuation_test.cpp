// Tests which failure domains a node takes for evacuated, over schedules of
// orders, removals, lost and delayed messages, restarts and copies of the
// store.
#include <map>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "routing/evacuation_state.h"

using namespace chivebeam;

namespace {

using domains = std::set<failure_domain>;

const failure_domain Places[] = {failure_domain("a"), failure_domain("b"),
                                 failure_domain("c")};

/// The store with everything that it ever was.
struct store_model {
  evacuation_orders Now{store_era(1), store_revision(1), {}};
  std::map<std::pair<store_era, store_revision>, domains> History{
      {{store_era(1), store_revision(1)}, {}}};
  evacuation_orders Copy = Now;

  void write(const failure_domain &Domain) {
    Now.Revision = Now.Revision.next();
    if (Now.Domains.erase(Domain) == 0)
      Now.Domains.insert(Domain);
    record();
  }
  void restoreCopy() {
    Now = {Now.Era.next(), Copy.Revision, Copy.Domains};
    record();
  }
  void record() { History[{Now.Era, Now.Revision}] = Now.Domains; }
};

/// True if the node believes what the store once was at that revision.
bool isTrue(const evacuation_orders &Known, const store_model &Store) {
  auto Found = Store.History.find({Known.Era, Known.Revision});
  return Known == evacuation_orders() ||
         (Found != Store.History.end() && Found->second == Known.Domains);
}

enum class event { write, copy, restore, list, watch, send, receive, restart };

} // namespace

// Answers messages that overtake each other, nodes that restart and stores that
// come back from a copy: no node may believe what was never ordered, none goes
// back to what was true before, and whoever hears one that has read the store
// believes what the store says.
BOOST_AUTO_TEST_CASE(nodes_believe_the_newest_orders_in_every_schedule) {
  bool Holds = rc::check([] {
    store_model Store;
    std::vector<evacuation_state> Nodes(3);
    std::vector<evacuation_orders> Messages;
    std::vector<evacuation_orders> Listings{Store.Now};
    unsigned Steps = *rc::gen::inRange(1U, 60U);
    for (unsigned Step = 0; Step < Steps; ++Step) {
      evacuation_state &Node = Nodes[*rc::gen::inRange(0U, 3U)];
      evacuation_orders Before = Node.current();
      auto Event = static_cast<event>(*rc::gen::inRange(0, 8));
      const failure_domain &Place = Places[*rc::gen::inRange(0U, 3U)];
      if (Event == event::write)
        Store.write(Place);
      else if (Event == event::copy)
        Store.Copy = Store.Now;
      else if (Event == event::restore)
        Store.restoreCopy();
      else if (Event == event::list)
        Node.apply(
            Listings[*rc::gen::inRange<std::size_t>(0, Listings.size())]);
      else if (Event == event::watch && Node.current() == Store.Now) {
        // A watch reports the changes after a listing one by one.
        Store.write(Place);
        Node.orderChanged(Store.Now.Era, Store.Now.Revision, Place,
                          Store.Now.Domains.contains(Place));
      } else if (Event == event::send)
        Messages.push_back(Node.current());
      else if (Event == event::receive && !Messages.empty())
        Node.apply(
            Messages[*rc::gen::inRange<std::size_t>(0, Messages.size())]);
      else if (Event == event::restart) {
        Node = evacuation_state();
        Before = evacuation_orders();
      }
      Listings.push_back(Store.Now);
      RC_ASSERT(isTrue(Node.current(), Store));
      RC_ASSERT(!isNewer(Before, Node.current()));
    }
    Nodes[0].apply(Store.Now);
    for (evacuation_state &Node : Nodes) {
      Node.apply(Nodes[0].current());
      RC_ASSERT(Node.current() == Store.Now);
    }
  });
  BOOST_TEST(Holds);
}

// Answers the loss of the end of an order: a node that knows of no order, but
// hears of one that has ended, has to say so.
BOOST_AUTO_TEST_CASE(a_node_that_hears_an_ended_order_tells_its_end) {
  evacuation_state Node;
  Node.apply({store_era(1), store_revision(9), {}});
  BOOST_TEST(!Node.wasEverOrdered());
  Node.apply({store_era(1), store_revision(5), {Places[0]}});
  BOOST_TEST(!Node.isEvacuated(Places[0]));
  BOOST_TEST(Node.wasEverOrdered());
}

// Answers a store that is away for a while when it comes back from a copy.
BOOST_AUTO_TEST_CASE(an_order_lasts_until_the_restored_store_is_read) {
  evacuation_state Node;
  Node.apply({store_era(1), store_revision(9), {Places[0]}});
  BOOST_TEST(
      !Node.orderChanged(store_era(2), store_revision(4), Places[1], true));
  BOOST_TEST(Node.isEvacuated(Places[0]));
  BOOST_TEST(Node.apply({store_era(2), store_revision(3), {}}));
  BOOST_TEST(!Node.isEvacuated(Places[0]));
}
