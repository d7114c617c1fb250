#include "mesh/frame_decoder.h"

namespace chivebeam {

namespace {

/// A buffer that was enlarged for a frame is released above this size.
constexpr std::size_t MaxKeptBufferBytes = 1 << 20;

} // namespace

result<std::optional<peer_frame>> frame_decoder::next(instant Now) {
  if (Buffer.size() < FramePrefixBytes)
    return std::nullopt;
  const char *Start = static_cast<const char *>(Buffer.data().data());
  result<frame_sizes> Sizes = decodeFrameSizes({Start, FramePrefixBytes});
  if (!Sizes)
    return tl::unexpected(Sizes.error());
  std::size_t Whole = FramePrefixBytes + Sizes->Head + Sizes->Body;
  if (Buffer.size() < Whole)
    return std::nullopt;
  std::string_view Head(Start + FramePrefixBytes, Sizes->Head);
  std::string Body(Start + FramePrefixBytes + Sizes->Head, Sizes->Body);
  result<peer_frame> Frame = decodeFrame(Head, std::move(Body), Now);
  Buffer.consume(Whole);
  if (Buffer.capacity() > MaxKeptBufferBytes)
    Buffer.shrink_to_fit();
  if (!Frame)
    return tl::unexpected(Frame.error());
  return std::move(*Frame);
}

} // namespace chivebeam
