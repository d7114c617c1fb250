#include "fuzz/peer_target.h"

#include <cmath>
#include <set>

#include "fuzz/fuzz_checks.h"
#include "fuzz/piece_reader.h"
#include "mesh/frame_decoder.h"
#include "wire/relative_time.h"

namespace chivebeam::fuzz {

namespace {

constexpr instant Now{seconds(1'000'000)};
/// Least memory that a buffer sets aside.
constexpr std::size_t MinBufferBytes = 512;

bool isTimeOfCall(microseconds Time) {
  return Time.count() >= 0 && Time <= MaxRemainingTime;
}

void requireLimits(const mesh_call &Call) {
  require(Call.Deadline <= Now + MaxRemainingTime &&
              Call.Goal <= Now + MaxRemainingTime,
          "a call has more time than a call may have");
  require(isTimeOfCall(Call.UsualDuration),
          "a call has an absurd usual duration");
  require(!Call.KnownRateLimit ||
              (std::isfinite(Call.KnownRateLimit->PerSecond) &&
               Call.KnownRateLimit->PerSecond >= 0),
          "a call has an absurd rate limit");
}

void requireLimits(const mesh_answer &Answer) {
  const home_load &Load = Answer.Load;
  require(isTimeOfCall(Answer.RetryAfter) && isTimeOfCall(Answer.RunTime) &&
              isTimeOfCall(Load.ServiceTime) &&
              isTimeOfCall(Load.StartInterval) && isTimeOfCall(Load.StartWait),
          "an answer has an absurd time");
  for (const refusal_ratios &Ratios : {Load.Refused, Load.Downstream}) {
    std::set<unsigned> Seen;
    for (const refusal_ratio &Ratio : Ratios)
      require(Seen.insert(Ratio.Urgency).second, "an urgency stands twice");
  }
}

/// Describes all of a frame that its kind carries.
std::string describe(const peer_frame &Frame) {
  std::string Text = encodeFrameHead(Frame, Now);
  if (shared_body Body = bodyOf(Frame))
    Text += *Body;
  for (std::size_t Count :
       {Frame.Records.size(), Frame.Suspects.size(), Frame.Buckets.size()})
    Text += "/" + std::to_string(Count);
  return Text;
}

/// Requires that another node decodes the same from the frame.
void requireSameAgain(const peer_frame &Frame) {
  shared_body Body = bodyOf(Frame);
  std::string Head = encodeFrameHead(Frame, Now);
  result<frame_sizes> Sizes =
      decodeFrameSizes(std::string_view(Head).substr(0, FramePrefixBytes));
  require(Sizes && Sizes->Head == Head.size() - FramePrefixBytes &&
              Sizes->Body == (Body ? Body->size() : 0),
          "an encoded frame states other sizes than it has");
  result<peer_frame> Again =
      decodeFrame(std::string_view(Head).substr(FramePrefixBytes),
                  Body ? *Body : std::string(), Now);
  require(Again.has_value(), "an encoded frame can't be decoded");
  require(describe(*Again) == describe(Frame),
          "an encoded frame is decoded to another one");
}

void requireValid(const peer_frame &Frame) {
  for (const home_record &Record : Frame.Records)
    require(Record.Gone || isConnectable(Record.Peer),
            "nothing can connect to " + Record.Peer.text());
  for (const suspect_event &Event : Frame.Suspects)
    require(Event.At <= Now, "an event lies in the future");
  if (Frame.Request)
    requireLimits(*Frame.Request);
  if (Frame.Answer)
    requireLimits(*Frame.Answer);
  requireSameAgain(Frame);
}

/// Decodes the complete frames. Returns false after an error.
bool decodeFrames(frame_decoder &Decoder) {
  for (;;) {
    result<std::optional<peer_frame>> Frame = Decoder.next(Now);
    if (!Frame)
      requireRemedy(Frame.error());
    if (!Frame || !*Frame)
      return Frame.has_value();
    requireValid(**Frame);
  }
}

} // namespace

void runPeer(std::string_view Bytes) {
  piece_reader Pieces(Bytes);
  frame_decoder Decoder;
  while (!Pieces.atEnd()) {
    std::string_view Piece = Pieces.next();
    asio::buffer_copy(Decoder.prepare(Piece.size()), asio::buffer(Piece));
    Decoder.commit(Piece.size());
    require(Decoder.heldBytes() <= 2 * Bytes.size() + MinBufferBytes,
            "more memory is set aside than arrived");
    if (!decodeFrames(Decoder))
      return;
  }
}

} // namespace chivebeam::fuzz
