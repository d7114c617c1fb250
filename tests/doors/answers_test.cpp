// Clients that send requests ahead without reading the answers or read very
// slowly, and a backend server whose answers have no end.
#include "doors_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

constexpr unsigned Clients = 80;
constexpr unsigned SlowReaders = 600;
constexpr unsigned EndlessCalls = 18;
constexpr unsigned ManyEndlessCalls = 150;
constexpr std::size_t RequestsAhead = 1'000;
constexpr std::size_t FewBytes = 100;
constexpr milliseconds SlowPause{500};

std::string request(door At, const std::string &RoutePath) {
  return doors_fixture::head(At, "GET", RoutePath) + "\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(unread_answers)

BOOST_AUTO_TEST_CASE(requests_sent_ahead) {
  for (door At : AllDoors)
    doors_fixture().check(At, {"", request(At, "/api/ok"), RequestsAhead},
                          Clients);
}

BOOST_AUTO_TEST_CASE(requests_for_large_answers_sent_ahead) {
  doors_fixture().check(door::route,
                        {"", request(door::route, "/api/large"), RequestsAhead},
                        Clients);
}

BOOST_AUTO_TEST_CASE(answers_read_slowly) {
  for (door At : AllDoors)
    doors_fixture().check(
        At, {request(At, "/api/large"), "", 100, "", SlowPause, FewBytes},
        SlowReaders);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(answers_without_end)

BOOST_AUTO_TEST_CASE(from_the_backend_server) {
  doors_fixture().check(door::route, {request(door::route, "/api/endless")},
                        EndlessCalls);
}

// Guards against a process that exceeds its memory because a faulty server
// sends bytes without end in any part of its answers to many calls at once.
BOOST_AUTO_TEST_CASE(in_any_part_of_many_answers) {
  for (std::string Part :
       {"fields", "field", "noise", "body", "extension", "trailer", "interim",
        "slow_fields", "body_after_many_fields"})
    BOOST_TEST_CONTEXT(Part)
  doors_fixture().check(door::route,
                        {request(door::route, "/api/endless/" + Part)},
                        ManyEndlessCalls);
}

BOOST_AUTO_TEST_SUITE_END()
