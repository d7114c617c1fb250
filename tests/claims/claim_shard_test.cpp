#include <boost/test/unit_test.hpp>

#include "claims/claim_shard.h"

using namespace chivebeam;

namespace {

constexpr std::uint64_t Seed = 7;
constexpr unsigned StatusOk = 200;

/// A shard with a loaded, empty log, its own clock and one waiting request.
struct loaded_shard {
  explicit loaded_shard(claim_limits Limits = {}) : Shard(Limits, Seed) {
    Shard.ask(claim_ticket(1), request("first"), Now);
    BOOST_REQUIRE(Shard.nextStep(Now)->Kind == log_step_kind::load);
    Shard.loadEnded(claim_log(), Now);
  }

  claim_request request(const std::string &Id, std::uint64_t Key = 1,
                        std::uint64_t Digest = 1) const {
    return {claim_id(Id), claim_key{0, Key}, request_digest(Digest),
            Now + seconds(5), Now + seconds(4)};
  }
  log_step requireStep(log_step_kind Kind) {
    std::optional<log_step> Step = Shard.nextStep(Now);
    BOOST_REQUIRE(Step.has_value());
    BOOST_REQUIRE((Step->Kind == Kind));
    return *Step;
  }
  /// Makes the first claim durable.
  void grantFirst() {
    requireStep(log_step_kind::commit);
    Shard.commitEnded(commit_end::committed, log_position(2), Now);
    BOOST_REQUIRE((onlyVerdict() == claim_verdict::granted));
  }
  claim_verdict onlyVerdict() {
    std::vector<claim_reply> Replies = Shard.takeReplies();
    BOOST_REQUIRE(Replies.size() == 1u);
    return Replies.front().Answer.Verdict;
  }
  claim_verdict verdictOn(const claim_request &Request) {
    Shard.ask(claim_ticket(9), Request, Now);
    return onlyVerdict();
  }

  instant Now{seconds(1'000)};
  claim_shard Shard;
};

} // namespace

BOOST_AUTO_TEST_CASE(nothing_is_granted_before_the_commit) {
  loaded_shard Test;
  Test.requireStep(log_step_kind::commit);
  BOOST_TEST(Test.Shard.takeReplies().empty());
  Test.Shard.commitEnded(commit_end::committed, log_position(2), Test.Now);
  BOOST_TEST((Test.onlyVerdict() == claim_verdict::granted));
}

BOOST_AUTO_TEST_CASE(a_lost_commit_answer_is_resolved_by_its_batch_id) {
  loaded_shard Test;
  log_step Commit = Test.requireStep(log_step_kind::commit);
  Test.Shard.commitEnded(commit_end::failed, log_position(), Test.Now);
  log_step Back = Test.requireStep(log_step_kind::read_back);
  BOOST_TEST(Back.Segment.Sequence == Commit.Segment.Sequence);
  Test.Shard.readBackEnded(
      read_back_result{Commit.Segment.Batch, log_position(2)}, Test.Now);
  BOOST_TEST((Test.onlyVerdict() == claim_verdict::granted));
}

BOOST_AUTO_TEST_CASE(a_commit_missing_from_the_log_is_sent_again_unchanged) {
  loaded_shard Test;
  log_step First = Test.requireStep(log_step_kind::commit);
  Test.Shard.commitEnded(commit_end::failed, log_position(), Test.Now);
  Test.requireStep(log_step_kind::read_back);
  Test.Shard.ask(claim_ticket(2), Test.request("second", 2), Test.Now);
  Test.Shard.readBackEnded(read_back_result(), Test.Now);
  log_step Again = Test.requireStep(log_step_kind::commit);
  BOOST_TEST((Again.Segment == First.Segment));
}

BOOST_AUTO_TEST_CASE(an_owner_that_was_replaced_grants_no_claim) {
  loaded_shard Test;
  Test.requireStep(log_step_kind::commit);
  Test.Shard.commitEnded(commit_end::refused, log_position(), Test.Now);
  Test.requireStep(log_step_kind::read_back);
  Test.Shard.readBackEnded(read_back_result{batch_id(1), log_position(9)},
                           Test.Now);
  BOOST_TEST((Test.onlyVerdict() == claim_verdict::not_owner));
  Test.Shard.ask(claim_ticket(2), Test.request("second"), Test.Now);
  Test.requireStep(log_step_kind::load);
}

BOOST_AUTO_TEST_CASE(a_failing_store_refuses_at_once_and_recovers) {
  loaded_shard Test;
  Test.requireStep(log_step_kind::commit);
  Test.Shard.commitEnded(commit_end::failed, log_position(), Test.Now);
  Test.requireStep(log_step_kind::read_back);
  Test.Shard.readBackEnded(std::nullopt, Test.Now);
  BOOST_TEST((Test.onlyVerdict() == claim_verdict::unavailable));
  BOOST_TEST(
      (Test.verdictOn(Test.request("other", 2)) == claim_verdict::unavailable));
  Test.Now += seconds(1);
  Test.requireStep(log_step_kind::read_back);
  Test.Shard.readBackEnded(read_back_result(), Test.Now);
  Test.requireStep(log_step_kind::commit);
  Test.Shard.commitEnded(commit_end::committed, log_position(2), Test.Now);
  // The commit of the refused claim succeeded later; the claim is released
  // before the key is claimed again.
  Test.Shard.ask(claim_ticket(3), Test.request("repeat"), Test.Now);
  log_step Next = Test.requireStep(log_step_kind::commit);
  BOOST_REQUIRE(Next.Segment.Records.size() == 2u);
  BOOST_TEST((Next.Segment.Records[0].Event == claim_event::released));
  BOOST_TEST((Next.Segment.Records[1].Event == claim_event::claimed));
}

BOOST_AUTO_TEST_CASE(a_repeat_waits_and_receives_the_result) {
  loaded_shard Test;
  Test.grantFirst();
  Test.Shard.ask(claim_ticket(2), Test.request("repeat"), Test.Now);
  BOOST_TEST(Test.Shard.takeReplies().empty());
  Test.Shard.end({claim_id("first"), {0, 1}, claim_outcome::ran, StatusOk},
                 Test.Now);
  std::vector<claim_reply> Replies = Test.Shard.takeReplies();
  BOOST_REQUIRE(Replies.size() == 1u);
  BOOST_TEST((Replies[0].Answer == claim_answer{claim_verdict::ran, StatusOk}));
}

BOOST_AUTO_TEST_CASE(a_repeat_gets_running_when_its_wait_ends) {
  loaded_shard Test;
  Test.grantFirst();
  claim_request Repeat = Test.request("repeat");
  Repeat.WaitUntil = Test.Now + seconds(1);
  Test.Shard.ask(claim_ticket(2), Repeat, Test.Now);
  Test.Now += seconds(1);
  Test.Shard.tick(Test.Now);
  BOOST_TEST((Test.onlyVerdict() == claim_verdict::running));
}

BOOST_AUTO_TEST_CASE(a_repeat_with_another_body_is_refused) {
  loaded_shard Test;
  Test.grantFirst();
  BOOST_TEST((Test.verdictOn(Test.request("other", 1, 2)) ==
              claim_verdict::other_request));
}

BOOST_AUTO_TEST_CASE(a_claim_without_a_reported_end_becomes_unknown) {
  loaded_shard Test;
  Test.grantFirst();
  Test.Now += seconds(6);
  BOOST_TEST(
      (Test.verdictOn(Test.request("repeat")) == claim_verdict::unknown));
}

BOOST_AUTO_TEST_CASE(a_released_claim_is_granted_to_a_waiting_repeat) {
  loaded_shard Test;
  Test.grantFirst();
  Test.Shard.ask(claim_ticket(2), Test.request("repeat"), Test.Now);
  Test.Shard.end({claim_id("first"), {0, 1}, claim_outcome::released, 0},
                 Test.Now);
  BOOST_TEST(Test.Shard.takeReplies().empty());
  Test.Now += seconds(1);
  log_step Next = Test.requireStep(log_step_kind::commit);
  BOOST_REQUIRE(Next.Segment.Records.size() == 2u);
  BOOST_TEST((Next.Segment.Records[0].Event == claim_event::released));
  Test.Shard.commitEnded(commit_end::committed, log_position(3), Test.Now);
  BOOST_TEST((Test.onlyVerdict() == claim_verdict::granted));
}

BOOST_AUTO_TEST_CASE(a_release_that_arrives_before_its_request_is_remembered) {
  loaded_shard Test;
  Test.grantFirst();
  Test.Shard.end({claim_id("late"), {0, 2}, claim_outcome::released, 0},
                 Test.Now);
  BOOST_TEST(
      (Test.verdictOn(Test.request("late", 2)) == claim_verdict::unavailable));
}

BOOST_AUTO_TEST_CASE(claims_are_bounded_and_removed_after_the_retention) {
  claim_limits Limits;
  Limits.MaxClaims = 1;
  loaded_shard Test(Limits);
  Test.grantFirst();
  BOOST_TEST(
      (Test.verdictOn(Test.request("other", 2)) == claim_verdict::over_limit));
  Test.Now += Limits.Retention + seconds(1);
  Test.Shard.tick(Test.Now);
  BOOST_TEST(Test.Shard.claims() == 0u);
}

BOOST_AUTO_TEST_CASE(commits_are_at_least_one_interval_apart) {
  loaded_shard Test;
  Test.grantFirst();
  Test.Shard.ask(claim_ticket(2), Test.request("second", 2), Test.Now);
  BOOST_TEST(!Test.Shard.nextStep(Test.Now).has_value());
  Test.Now += claim_limits().CommitInterval;
  Test.requireStep(log_step_kind::commit);
}
