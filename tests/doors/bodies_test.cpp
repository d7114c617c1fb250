// Clients that send bodies of legal size many at once and stop just short of
// their end, or bodies far over the limit.
#include "doors_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

constexpr unsigned Clients = 40;
constexpr std::size_t ChunkBytes = 64 << 10;
constexpr std::size_t SmallPieceBytes = 1 << 10;
constexpr stated_limits SmallestMachine{160, 4'100, 64 << 20};

std::string sized(door At, std::size_t Bytes) {
  return doors_fixture::head(At) + "Content-Length: " + std::to_string(Bytes) +
         "\r\n\r\n";
}

std::string chunked(door At) {
  return doors_fixture::head(At) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk() {
  return "10000\r\n" + std::string(ChunkBytes, 'x') + "\r\n";
}

crowd_client inOnePiece(door At) {
  std::size_t Bytes = stated_limits().MaxBodyBytes;
  return {sized(At, Bytes), std::string(Bytes - 1, 'x'), 1};
}

crowd_client inSmallPieces(door At) {
  std::size_t Bytes = stated_limits().MaxBodyBytes;
  return {sized(At, Bytes), std::string(SmallPieceBytes, 'x'),
          Bytes / SmallPieceBytes - 1, std::string(SmallPieceBytes - 1, 'x')};
}

crowd_client inChunks(door At) {
  return {chunked(At), chunk(), stated_limits().MaxBodyBytes / ChunkBytes - 1,
          "10000\r\n" + std::string(ChunkBytes - 1, 'x')};
}

} // namespace

BOOST_AUTO_TEST_SUITE(bodies_short_of_their_end)

BOOST_AUTO_TEST_CASE(in_one_piece) {
  for (door At : AllDoors)
    doors_fixture().check(At, inOnePiece(At), Clients);
}

BOOST_AUTO_TEST_CASE(in_small_pieces) {
  for (door At : AllDoors)
    doors_fixture().check(At, inSmallPieces(At), Clients);
}

BOOST_AUTO_TEST_CASE(in_chunks) {
  for (door At : AllDoors)
    doors_fixture().check(At, inChunks(At), Clients);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(bodies_over_the_limit)

BOOST_AUTO_TEST_CASE(announced) {
  for (door At : AllDoors)
    doors_fixture().check(
        At, {sized(At, 1ULL << 30), std::string(ChunkBytes, 'x'), 1 << 10},
        Clients);
}

BOOST_AUTO_TEST_CASE(in_chunks) {
  for (door At : AllDoors)
    doors_fixture().check(At, {chunked(At), chunk(), 1 << 10}, Clients);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(one_body_in_calm)

BOOST_AUTO_TEST_CASE(announced) {
  std::size_t Bytes = SmallestMachine.MaxBodyBytes;
  unsigned Status =
      doors_fixture(SmallestMachine)
          .checkOne({sized(door::route, Bytes), std::string(ChunkBytes, 'x'),
                     Bytes / ChunkBytes});
  BOOST_TEST(Status == 200u);
}

BOOST_AUTO_TEST_CASE(in_chunks) {
  std::size_t Chunks = SmallestMachine.MaxBodyBytes / ChunkBytes;
  unsigned Status =
      doors_fixture(SmallestMachine)
          .checkOne({chunked(door::route), chunk(), Chunks, "0\r\n\r\n"});
  BOOST_TEST(Status == 200u);
}

BOOST_AUTO_TEST_SUITE_END()
