// Decisions about bodies that share the memory of a process.
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "limits/body_account.h"

using namespace chivebeam;

namespace {

constexpr std::uint64_t Part = 64 << 20;
constexpr std::uint64_t Small = 64 << 10;
constexpr std::uint64_t SmallReserve = Part / 16;
constexpr std::uint64_t Shared = Part - SmallReserve; ///< of one kind
constexpr std::uint64_t Floor = Shared / 4 * 3;
constexpr std::array Kinds{body_kind::request, body_kind::answer};

body_kind other(body_kind Kind) {
  return Kind == body_kind::request ? body_kind::answer : body_kind::request;
}

body_account twoParts() { return {Part, Part, Small}; }

/// Fills the account with bodies of a size until none fits.
void fill(body_account &Account, body_kind Kind, std::uint64_t Bytes) {
  while (Account.resize(Kind, 0, Bytes)) {
  }
}

} // namespace

// Load: a crowd of large bodies that never end, of a node that has one kind.
BOOST_AUTO_TEST_CASE(large_bodies_leave_memory_to_small_ones) {
  body_account Account(Part, 0, Small);
  BOOST_TEST(!Account.resize(body_kind::request, 0, Shared + 1));
  BOOST_TEST(Account.resize(body_kind::request, 0, Shared));
  BOOST_TEST(!Account.resize(body_kind::request, 0, Small + 1));
  for (std::uint64_t Held = 0; Held < SmallReserve; Held += Small)
    BOOST_TEST(Account.resize(body_kind::request, 0, Small));
  BOOST_TEST(!Account.resize(body_kind::request, 0, 1));
  BOOST_TEST(Account.usedBytes(body_kind::request) == Part);
}

// Load: a body in chunks that grows while others wait.
BOOST_AUTO_TEST_CASE(a_growing_body_counts_once) {
  body_account Account(16 << 20, 0, Small);
  BOOST_TEST(Account.resize(body_kind::request, 0, 10 << 20));
  BOOST_TEST(Account.resize(body_kind::request, 10 << 20, 15 << 20));
  BOOST_TEST(Account.resize(body_kind::request, 15 << 20, 10 << 20));
  BOOST_TEST(Account.resize(body_kind::request, 0, 2 << 20));
  BOOST_TEST(!Account.resize(body_kind::request, 10 << 20, 14 << 20));
  BOOST_TEST(Account.usedBytes(body_kind::request) == 12u << 20);
}

// Load: a node that has only large requests, or only large answers.
BOOST_AUTO_TEST_CASE(a_kind_may_use_what_the_other_does_not_need) {
  for (body_kind Kind : Kinds) {
    body_account Account = twoParts();
    BOOST_TEST(!Account.resize(Kind, 0, 2 * Shared - Floor + 1));
    BOOST_TEST(Account.resize(Kind, 0, 2 * Shared - Floor));
    BOOST_TEST(!Account.resize(Kind, 0, Small + 1));
  }
}

// Load: crowds of bodies of any size of one kind, or of both, that never end.
BOOST_AUTO_TEST_CASE(a_crowd_of_one_kind_leaves_a_floor_to_the_other) {
  for (body_kind Kind : Kinds)
    for (std::uint64_t Bytes : {std::uint64_t{1} << 20, Small}) {
      body_account Account = twoParts();
      fill(Account, Kind, Bytes);
      BOOST_TEST(Account.resize(other(Kind), 0, Floor));
      BOOST_TEST(Account.resize(other(Kind), 0, Small));
    }
}

BOOST_AUTO_TEST_CASE(large_bodies_of_both_kinds_leave_memory_to_small_ones) {
  body_account Account = twoParts();
  fill(Account, body_kind::answer, 1 << 20);
  fill(Account, body_kind::request, Small);
  BOOST_TEST(Account.resize(body_kind::answer, 0, Small));
}

// Any bodies in any order: what is held stays within both parts, a body that
// doesn't fit changes nothing, and in the end nothing is held.
BOOST_AUTO_TEST_CASE(the_account_never_holds_more_than_its_parts) {
  bool Holds = rc::check([](const std::vector<std::uint32_t> &Steps) {
    body_account Account = twoParts();
    std::vector<std::pair<body_kind, std::uint64_t>> Held;
    auto Used = [&] {
      return Account.usedBytes(body_kind::request) +
             Account.usedBytes(body_kind::answer);
    };
    for (std::uint32_t Step : Steps) {
      std::uint64_t Bytes = Step % 3 == 0 ? Step % Small : Step % Part;
      body_kind Kind = Kinds[Step % 2];
      std::uint64_t Before = Used();
      if (Step % 5 == 0 && !Held.empty()) {
        RC_ASSERT(Account.resize(Held.back().first, Held.back().second, 0));
        Held.pop_back();
      } else if (Account.resize(Kind, 0, Bytes)) {
        Held.emplace_back(Kind, Bytes);
      } else {
        RC_ASSERT(Used() == Before);
      }
      RC_ASSERT(Used() <= 2 * Part);
    }
    for (const auto &[Kind, Bytes] : Held)
      RC_ASSERT(Account.resize(Kind, Bytes, 0));
    RC_ASSERT(Used() == 0u);
  });
  BOOST_TEST(Holds);
}
