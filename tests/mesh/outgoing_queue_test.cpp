// Tests the order in which frames and bodies are sent on a connection between
// two nodes.
#include <boost/test/unit_test.hpp>

#include "mesh/outgoing_queue.h"

using namespace chivebeam;

namespace {

const instant Now = instant(seconds(5));

shared_body bodyOfSize(std::size_t Bytes) {
  return std::make_shared<const std::string>(Bytes, 'b');
}

/// Decodes the frames of a batch.
std::vector<peer_frame> framesOf(const outgoing_batch &Batch) {
  std::string Bytes;
  for (std::string_view Piece : Batch.Pieces)
    Bytes += Piece;
  std::vector<peer_frame> Frames;
  for (std::string_view Left = Bytes; !Left.empty();) {
    frame_sizes Sizes = *decodeFrameSizes(Left);
    Left.remove_prefix(FramePrefixBytes);
    Frames.push_back(
        *decodeFrame(Left.substr(0, Sizes.Head),
                     std::string(Left.substr(Sizes.Head, Sizes.Body)), Now));
    Left.remove_prefix(Sizes.Head + Sizes.Body);
  }
  return Frames;
}

void addPing(outgoing_queue &Queue, std::uint64_t Number) {
  peer_frame Ping;
  Ping.Call = Number;
  Queue.addFrame(encodeFrameHead(Ping, 0, Now), nullptr);
}

} // namespace

BOOST_AUTO_TEST_SUITE(outgoing)

// Guards against a large body that delays all frames and bodies behind it.
BOOST_AUTO_TEST_CASE(frames_and_bodies_pass_between_the_parts_of_a_body) {
  outgoing_queue Queue;
  Queue.addBody(1, bodyOfSize(10 * MaxPartBytes), nullptr);
  Queue.addBody(2, bodyOfSize(1), nullptr);
  std::vector<peer_frame> First = framesOf(Queue.takeBatch(Now));
  BOOST_REQUIRE(First.size() == 1u);
  BOOST_TEST(First[0].Call == 1u);
  BOOST_TEST(First[0].Body->size() == MaxPartBytes);
  addPing(Queue, 9);
  std::vector<peer_frame> Second = framesOf(Queue.takeBatch(Now));
  BOOST_REQUIRE(Second.size() == 2u);
  BOOST_TEST((Second[0].Kind == frame_kind::ping));
  BOOST_TEST(Second[1].Call == 2u);
}

// Guards against bodies that never move while many small frames are sent.
BOOST_AUTO_TEST_CASE(frames_without_end_do_not_stop_a_body) {
  outgoing_queue Queue;
  Queue.addBody(1, bodyOfSize(3 * MaxPartBytes), nullptr);
  std::size_t Parts = 0;
  for (unsigned Turn = 0; Turn < 3; ++Turn) {
    for (unsigned Number = 0; Number < 100; ++Number)
      addPing(Queue, Number);
    for (const peer_frame &Frame : framesOf(Queue.takeBatch(Now)))
      Parts += Frame.Kind == frame_kind::body_part ? 1 : 0;
  }
  BOOST_TEST(Parts == 3u);
}

// Guards against a call that counts as not run though its home node may have
// its whole body.
BOOST_AUTO_TEST_CASE(the_last_part_is_announced_when_it_is_taken) {
  outgoing_queue Queue;
  bool Announced = false;
  Queue.addBody(1, bodyOfSize(MaxPartBytes + 1), [&] { Announced = true; });
  Queue.takeBatch(Now);
  BOOST_TEST(!Announced);
  std::vector<peer_frame> Last = framesOf(Queue.takeBatch(Now));
  BOOST_TEST(Announced);
  BOOST_TEST(Last[0].Body->size() == 1u);
  BOOST_TEST(Queue.empty());
}

BOOST_AUTO_TEST_CASE(a_removed_body_is_not_sent_on) {
  outgoing_queue Queue;
  Queue.addBody(1, bodyOfSize(2 * MaxPartBytes), nullptr);
  Queue.takeBatch(Now);
  Queue.removeBody(1);
  BOOST_TEST(Queue.empty());
}

BOOST_AUTO_TEST_CASE(waiting_frames_are_counted_without_bodies) {
  outgoing_queue Queue;
  Queue.addBody(1, bodyOfSize(MaxPartBytes), nullptr);
  BOOST_TEST(Queue.frameBytes() == 0u);
  Queue.addFrame("head", bodyOfSize(10));
  BOOST_TEST(Queue.frameBytes() == 14u);
  Queue.takeBatch(Now);
  BOOST_TEST(Queue.frameBytes() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
