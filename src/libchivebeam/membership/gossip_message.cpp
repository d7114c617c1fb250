#include "membership/gossip_message.h"

namespace chivebeam {

namespace {

/// IP and UDP headers and the fields that every message has.
constexpr std::size_t FixedMessageBytes = 96;
constexpr std::size_t FixedMoveBytes = 40;

} // namespace

std::size_t estimatedBytes(const gossip_message &Message) {
  std::size_t Bytes = FixedMessageBytes + Message.Fleet.str().size() +
                      estimatedBytes(Message.Sender) +
                      Message.BucketDigests.size() * sizeof(std::uint32_t) +
                      Message.CompleteBuckets.size();
  for (const member_record &Record : Message.Records)
    Bytes += estimatedBytes(Record);
  for (const move_progress &Move : Message.Moves)
    Bytes += FixedMoveBytes + Move.Id.str().size() + Move.Reason.size();
  return Bytes;
}

} // namespace chivebeam
