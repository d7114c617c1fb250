// Tests the admission of large bodies that several nodes send to one node over
// a slow link.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

#include "base/random.h"
#include "routing/body_admission.h"

using namespace chivebeam;

namespace {

const instant Start = instant(seconds(1'000));
constexpr double SlowLinkBytesPerSecond = 1.25e6; // 10 Mbit/s
constexpr std::uint64_t BodyBytes = 60'000;       // 48 ms on that link
constexpr milliseconds Goal{600};
constexpr milliseconds Deadline{2'500};

body_offer offer(unsigned Number, instant Now) {
  return {call_number(Number), BodyBytes, Now + Goal, Now + Deadline,
          milliseconds(120)};
}

/// Counts the results of uploads over a link, in virtual time.
struct upload_simulation {
  unsigned InGoal = 0;
  unsigned Served = 0;
  unsigned Refused = 0;
  microseconds LongestQueue{0}; ///< delay that a small call would have had

  /// Simulates 20 s of uploads that arrive at random, at a mean rate of
  /// PerSecond. Without admission control, each is sent at once.
  void simulate(double PerSecond, bool WithAdmission);

private:
  void transmit(unsigned Number, instant Now);
  void apply(const transfer_update &Update, instant Now);

  body_admission Admission{SlowLinkBytesPerSecond};
  std::map<unsigned, instant> Arrived;
  std::multimap<instant, unsigned>
      Ends; ///< of transfers on the link, in FIFO order
  instant LinkFreeAt = Start;
};

void upload_simulation::transmit(unsigned Number, instant Now) {
  LinkFreeAt =
      std::max(LinkFreeAt, Now) +
      microseconds(static_cast<int>(BodyBytes * 1e6 / SlowLinkBytesPerSecond));
  LongestQueue = std::max(LongestQueue, LinkFreeAt - Now);
  Ends.emplace(LinkFreeAt, Number);
}

void upload_simulation::apply(const transfer_update &Update, instant Now) {
  for (call_number Call : Update.Admitted)
    transmit(static_cast<unsigned>(Call.value()), Now);
  Refused += static_cast<unsigned>(Update.Refused.size());
}

void upload_simulation::simulate(double PerSecond, bool WithAdmission) {
  random_source Random(7);
  instant Next = Start;
  unsigned Number = 0;
  auto EndUntil = [&](instant Limit) {
    while (!Ends.empty() && Ends.begin()->first <= Limit) {
      auto [At, Done] = *Ends.begin();
      Ends.erase(Ends.begin());
      microseconds Took = At + milliseconds(120) - Arrived[Done];
      InGoal += Took <= Goal ? 1 : 0;
      Served += Took <= Deadline ? 1 : 0;
      if (WithAdmission)
        apply(Admission.transferEnded(call_number(Done), At), At);
    }
  };
  while (Next < Start + seconds(20)) {
    EndUntil(Next);
    Arrived[++Number] = Next;
    transfer_decision Decision =
        WithAdmission ? Admission.offer(offer(Number, Next), Next)
                      : transfer_decision::send;
    if (Decision == transfer_decision::send)
      transmit(Number, Next);
    Refused += Decision == transfer_decision::refuse ? 1 : 0;
    auto MaxIntervalMicros = static_cast<std::uint64_t>(2e6 / PerSecond);
    Next += microseconds(Random.below(MaxIntervalMicros) + 1);
  }
  EndUntil(Start + seconds(40));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_fast_or_unknown_link_admits_every_body_at_once) {
  body_admission Fast(125e6);
  body_admission Unknown(0);
  for (unsigned Number = 0; Number < 50; ++Number) {
    BOOST_TEST(
        (Fast.offer(offer(Number, Start), Start) == transfer_decision::send));
    BOOST_TEST((Unknown.offer(offer(Number, Start), Start) ==
                transfer_decision::send));
  }
}

BOOST_AUTO_TEST_CASE(a_slow_link_admits_bodies_in_order_of_their_goals) {
  body_admission Admission(SlowLinkBytesPerSecond);
  BOOST_TEST(
      (Admission.offer(offer(1, Start), Start) == transfer_decision::send));
  body_offer Late = offer(2, Start);
  body_offer Early = offer(3, Start);
  Early.Goal -= milliseconds(100);
  BOOST_TEST((Admission.offer(Late, Start) == transfer_decision::wait));
  BOOST_TEST((Admission.offer(Early, Start) == transfer_decision::wait));
  transfer_update Update =
      Admission.transferEnded(call_number(1), Start + milliseconds(48));
  BOOST_REQUIRE(Update.Admitted.size() == 1u);
  BOOST_TEST((Update.Admitted[0] == call_number(3)));
}

BOOST_AUTO_TEST_CASE(a_body_that_would_miss_its_goal_is_refused_with_a_wait) {
  body_admission Admission(SlowLinkBytesPerSecond);
  unsigned Number = 0;
  while (Admission.offer(offer(++Number, Start), Start) !=
         transfer_decision::refuse)
    BOOST_REQUIRE(Number < 100u);
  // The goal of 600 ms minus 120 ms of run time leaves time for ten bodies.
  BOOST_TEST(Number >= 9u);
  BOOST_TEST(Number <= 14u);
  BOOST_TEST(Admission.excessWait(offer(Number, Start), Start).count() > 0);
  transfer_update Update = Admission.refuseUnservable(Start + Deadline);
  BOOST_TEST(Update.Refused.size() == Number - 2);
  BOOST_TEST(Admission.waiting() == 0u);
}

BOOST_AUTO_TEST_CASE(a_withdrawn_offer_is_skipped_for_the_next_one) {
  body_admission Admission(SlowLinkBytesPerSecond);
  Admission.offer(offer(1, Start), Start);
  Admission.offer(offer(2, Start), Start);
  Admission.offer(offer(3, Start), Start);
  BOOST_TEST(Admission.transferEnded(call_number(2), Start).Admitted.empty());
  transfer_update Update = Admission.transferEnded(call_number(1), Start);
  BOOST_REQUIRE(Update.Admitted.size() == 1u);
  BOOST_TEST((Update.Admitted[0] == call_number(3)));
}

// Guards against a collapse when more uploads arrive than the link of their
// home node can transfer. Without admission control, all of them become late
// and small calls wait for seconds; with it, the link stays busy and the excess
// is refused.
BOOST_AUTO_TEST_CASE(uploads_beyond_link_capacity_are_refused_not_delayed) {
  upload_simulation Unlimited;
  upload_simulation WithAdmission;
  Unlimited.simulate(25, false); // the link transfers 20.8 a second
  WithAdmission.simulate(25, true);
  BOOST_TEST(Unlimited.InGoal < 100u);
  BOOST_TEST(Unlimited.LongestQueue > seconds(2));
  BOOST_TEST(WithAdmission.InGoal >
             330u); // of 416 that the link can transfer in 20 s
  BOOST_TEST(WithAdmission.Served + WithAdmission.Refused > 450u);
  BOOST_TEST(WithAdmission.LongestQueue <= milliseconds(100));
}

// Guards against a body that uses the link though it can't arrive in time.
BOOST_AUTO_TEST_CASE(a_body_that_can_t_arrive_in_time_is_refused_at_once) {
  body_admission Admission{SlowLinkBytesPerSecond};
  body_offer Offer;
  Offer.Call = call_number(1);
  Offer.Bytes = static_cast<std::uint64_t>(2 * SlowLinkBytesPerSecond);
  Offer.Goal = Start + milliseconds(300);
  Offer.Deadline = Start + milliseconds(1'200);
  BOOST_TEST((Admission.offer(Offer, Start) == transfer_decision::refuse));
  BOOST_TEST(Admission.inTransit() == 0u);
  Offer.Deadline = Start + seconds(3);
  BOOST_TEST((Admission.offer(Offer, Start) == transfer_decision::send));
}
