#include "limits/body_account.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// One in so many bytes of a part is for small bodies.
constexpr std::uint64_t SmallPart = 16;
/// Of what is left, a kind keeps three in four bytes.
constexpr std::uint64_t FloorParts = 4;
constexpr std::uint64_t KeptParts = 3;

} // namespace

body_account::body_account(std::uint64_t RequestBytes,
                           std::uint64_t AnswerBytes,
                           std::uint64_t LargestSmallBytes)
    : Parts{makePart(RequestBytes), makePart(AnswerBytes)},
      SharedBytes(RequestBytes + AnswerBytes - Parts[0].SmallReserve -
                  Parts[1].SmallReserve),
      SmallBytes(LargestSmallBytes) {}

body_account::body_account(std::uint64_t MemoryBytes, const door_limits &Limits)
    : body_account(door_limits::part(MemoryBytes, Limits.RequestMemoryPercent),
                   door_limits::part(MemoryBytes, Limits.AnswerMemoryPercent),
                   Limits.SmallBodyBytes) {}

body_account::part body_account::makePart(std::uint64_t Bytes) {
  part Made;
  Made.SmallReserve = Bytes / SmallPart;
  Made.Floor = (Bytes - Made.SmallReserve) / FloorParts * KeptParts;
  return Made;
}

std::uint64_t body_account::part::sharedUsed() const {
  return LargeUsed + std::max(SmallUsed, SmallReserve) - SmallReserve;
}

bool body_account::resize(body_kind Kind, std::uint64_t HeldBytes,
                          std::uint64_t NewBytes) {
  part &Own = of(Kind);
  const part &Other =
      of(Kind == body_kind::request ? body_kind::answer : body_kind::request);
  part Changed = Own;
  Changed.used(HeldBytes <= SmallBytes) -= HeldBytes;
  Changed.used(NewBytes <= SmallBytes) += NewBytes;
  std::uint64_t Room = SharedBytes - std::max(Other.sharedUsed(), Other.Floor);
  if (NewBytes > HeldBytes && Changed.sharedUsed() > Own.sharedUsed() &&
      Changed.sharedUsed() > Room)
    return false;
  Own = Changed;
  return true;
}

std::uint64_t body_account::usedBytes(body_kind Kind) const {
  const part &Part = Parts[static_cast<std::size_t>(Kind)];
  return Part.SmallUsed + Part.LargeUsed;
}

} // namespace chivebeam
