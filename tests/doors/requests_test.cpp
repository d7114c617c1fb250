// Clients that send requests of very many short header fields, or that send
// very slowly or stop half-way.
#include "doors_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

constexpr unsigned ClientsWithFields = 300;
constexpr unsigned SlowClients = 600;
/// With the other fields they stay below the limit of a header.
constexpr std::size_t Fields = 3'000;
constexpr milliseconds SlowPause{500};

std::string manyFields() {
  std::string Text;
  for (std::size_t Index = 0; Index < Fields; ++Index)
    Text += "a:b\r\n";
  return Text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(many_short_fields)

BOOST_AUTO_TEST_CASE(short_of_their_end) {
  for (door At : AllDoors)
    doors_fixture().check(At, {doors_fixture::head(At, "GET") + manyFields()},
                          ClientsWithFields);
}

BOOST_AUTO_TEST_CASE(complete) {
  for (door At : AllDoors)
    doors_fixture().check(
        At,
        {doors_fixture::head(At, "GET", "/api/slow") + manyFields() + "\r\n"},
        ClientsWithFields);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(slow_requests)

BOOST_AUTO_TEST_CASE(connections_without_a_byte) {
  for (door At : AllDoors)
    doors_fixture().check(At, {""}, SlowClients);
}

BOOST_AUTO_TEST_CASE(headers_that_stop_half_way) {
  for (door At : AllDoors)
    doors_fixture().check(At, {doors_fixture::head(At)}, SlowClients);
}

BOOST_AUTO_TEST_CASE(headers_a_byte_at_a_time) {
  for (door At : AllDoors)
    doors_fixture().check(At, {"G", "E", 100, "", SlowPause}, SlowClients);
}

BOOST_AUTO_TEST_CASE(bodies_that_stop_half_way) {
  for (door At : AllDoors)
    doors_fixture().check(
        At, {doors_fixture::head(At) + "Content-Length: 1000\r\n\r\nhalf"},
        SlowClients);
}

BOOST_AUTO_TEST_CASE(bodies_a_byte_at_a_time) {
  for (door At : AllDoors)
    doors_fixture().check(
        At,
        {doors_fixture::head(At) + "Content-Length: 1000\r\n\r\n", "x", 100, "",
         SlowPause},
        SlowClients);
}

BOOST_AUTO_TEST_SUITE_END()
