// Tests in virtual time that a workspace that sends many times its usual calls
// does not take the room of the others.
#include <boost/test/unit_test.hpp>

#include <numeric>
#include <queue>
#include <random>

#include "routing/call_rank.h"
#include "routing/fair_shares.h"
#include "routing/slot_queue.h"

using namespace chivebeam;

namespace {

constexpr unsigned Workspaces = 84;
constexpr unsigned Slots = 12;
constexpr milliseconds RunTime{200};
constexpr double Capacity = Slots * 1'000.0 / RunTime.count(); ///< per second
constexpr seconds Played{40};

struct counts {
  unsigned Sent = 0;
  unsigned Served = 0;
  double ratio() const { return Sent == 0 ? 1.0 : double(Served) / Sent; }
};

/// Plays calls at one backend server; workspace N usually sends in proportion
/// to 1 / (N + 1), all together 0.9 of the capacity, and Hot 7 times as much.
class play {
public:
  explicit play(unsigned Hot) {
    Queue.setSlots(Slots, Now);
    double Sum = 0;
    for (unsigned Index = 0; Index < Workspaces; ++Index)
      Sum += 1.0 / (Index + 1);
    std::vector<double> Sends;
    std::map<workspace_name, workspace> Capped;
    for (unsigned Index = 0; Index < Workspaces; ++Index) {
      double Usual = Capacity * 0.9 / (Index + 1) / Sum;
      Sends.push_back(Usual * (Index == Hot ? 7 : 1));
      Capped[nameOf(Index)].Cap.RatePerSecond = Usual * 1.6;
    }
    Fair.setWorkspaces(Capped);
    double Rate = std::accumulate(Sends.begin(), Sends.end(), 0.0);
    std::discrete_distribution<unsigned> Sender(Sends.begin(), Sends.end());
    std::exponential_distribution<double> Gap(Rate / 1e6);
    instant End = Now + Played;
    while (Now < End) {
      instant Next = Now + microseconds(std::int64_t(Gap(Random)));
      endCallsUntil(Next);
      Now = Next;
      arrive(Sender(Random));
    }
    endCallsUntil(Now + seconds(10));
  }

  std::vector<counts> Counts{Workspaces};

private:
  static workspace_name nameOf(unsigned Index) {
    return workspace_name(std::to_string(Index));
  }
  void arrive(unsigned Workspace) {
    slot_request Request;
    Request.Call = call_number(Requests.size());
    Request.Route = route_name("r");
    Request.Goal = Now + milliseconds(500);
    Request.Deadline = Now + milliseconds(1'500);
    bool Within = Fair.countCall(nameOf(Workspace), Now);
    Request.Urgency = Within ? 0 : Fair.rankBeyondShare(nameOf(Workspace));
    ++Counts[Workspace].Sent;
    Requests.push_back({Request, Workspace});
    if (Queue.arrive(Request, Now) == slot_decision::run)
      start(Request.Call);
  }
  void start(call_number Call) {
    ++Counts[Requests[Call.value()].second].Served;
    Ends.push({Now + RunTime, Call.value()});
  }
  void endCallsUntil(instant Until) {
    for (; !Ends.empty() && Ends.front().first <= Until; Ends.pop()) {
      Now = Ends.front().first;
      slot_update Update =
          Queue.release(Requests[Ends.front().second].first, RunTime, Now);
      for (call_number Call : Update.Started)
        start(Call);
    }
  }

  instant Now = instant(seconds(1'000));
  std::mt19937 Random{7};
  slot_queue Queue;
  fair_shares Fair;
  std::vector<std::pair<slot_request, unsigned>> Requests;
  std::queue<std::pair<instant, std::uint64_t>> Ends; ///< all run equally long
};

} // namespace

// Answers one workspace that sends 7 times its usual calls among 84 of skewed
// size. The others ask for less than the capacity, so they keep their room.
BOOST_AUTO_TEST_CASE(a_hot_workspace_does_not_take_the_room_of_the_others) {
  for (unsigned Hot : {0U, 1U, 4U}) {
    play Play(Hot);
    counts All;
    counts Others;
    for (unsigned Index = 0; Index < Workspaces; ++Index) {
      const counts &Own = Play.Counts[Index];
      All.Sent += Own.Sent;
      All.Served += Own.Served;
      if (Index == Hot)
        continue;
      Others.Sent += Own.Sent;
      Others.Served += Own.Served;
    }
    for (const counts &Own : Play.Counts)
      BOOST_TEST(Own.ratio() * 4 >= All.ratio());
    BOOST_TEST(Others.ratio() > 0.9);
    BOOST_TEST(Play.Counts[Hot].ratio() < Others.ratio());
  }
}

BOOST_AUTO_TEST_CASE(a_priority_goes_before_the_urgency) {
  BOOST_TEST(rankOf(0, 7) == 7u);
  BOOST_TEST(rankOf(0, 1'000) < rankOf(1, 0));
  BOOST_TEST(rankOf(1, 1) < rankOf(1, 2));
  BOOST_TEST(lowestRankBeside(rankOf(1, 1)) < rankOf(2, 0));
  BOOST_TEST(lowestRankBeside(rankOf(1, 1)) > rankOf(1, 1'000));
}

// Answers deployments without usage caps: no call is in excess.
BOOST_AUTO_TEST_CASE(without_caps_every_call_is_within_its_share) {
  fair_shares Fair;
  Fair.setWorkspaces({{workspace_name("a"), {}}});
  for (int Call = 0; Call < 1'000; ++Call) {
    BOOST_TEST(Fair.countCall(workspace_name("a"), instant(seconds(1))));
    BOOST_TEST(Fair.countCall(workspace_name(), instant(seconds(1))));
  }
}

// Answers an overload in which the calls of the higher priorities fill all
// slots: the others still get a part of them.
BOOST_AUTO_TEST_CASE(a_part_of_the_calls_of_each_workspace_goes_first) {
  unsigned Promoted = 0;
  for (unsigned Call = 0; Call < 3'000; ++Call)
    Promoted += priorityOfCall(9, request_id(std::to_string(Call))) == 0;
  BOOST_TEST(Promoted > 900u);
  BOOST_TEST(Promoted < 1'100u);
}
