#pragma once

#include <cstdint>

namespace chivebeam {

/// Larger bodies leave one in so many bytes to small ones.
inline constexpr std::uint64_t SmallBodyPart = 16;

/// Returns whether a body that holds HeldBytes may grow to NewBytes while all
/// bodies hold UsedBytes of MaxBytes; up to SmallBytes it is a small one. Many
/// large bodies, however they arrive, can't keep out small ones. Thread safe.
/// \pre HeldBytes <= NewBytes, HeldBytes <= UsedBytes
constexpr bool mayHold(std::uint64_t MaxBytes, std::uint64_t UsedBytes,
                       std::uint64_t HeldBytes, std::uint64_t NewBytes,
                       std::uint64_t SmallBytes) {
  std::uint64_t Limit =
      NewBytes <= SmallBytes ? MaxBytes : MaxBytes - MaxBytes / SmallBodyPart;
  std::uint64_t OtherBytes = UsedBytes - HeldBytes;
  return OtherBytes <= Limit && NewBytes <= Limit - OtherBytes;
}

} // namespace chivebeam
