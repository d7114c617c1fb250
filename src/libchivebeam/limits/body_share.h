#pragma once

#include <cstdint>

namespace chivebeam {

/// Bodies up to this size may use the whole memory for bodies. Larger ones
/// leave a part of it to them.
inline constexpr std::uint64_t SmallBodyBytes = 64 << 10;
inline constexpr std::uint64_t SmallBodyPart = 16; ///< one in so many bytes

/// Returns whether a body that holds HeldBytes may grow to NewBytes while all
/// bodies hold UsedBytes of MaxBytes. Many large bodies, however they arrive,
/// can't keep out small ones. Thread safe. \pre HeldBytes <= NewBytes,
/// HeldBytes <= UsedBytes
constexpr bool mayHold(std::uint64_t MaxBytes, std::uint64_t UsedBytes,
                       std::uint64_t HeldBytes, std::uint64_t NewBytes) {
  std::uint64_t Limit = NewBytes <= SmallBodyBytes
                            ? MaxBytes
                            : MaxBytes - MaxBytes / SmallBodyPart;
  std::uint64_t OtherBytes = UsedBytes - HeldBytes;
  return OtherBytes <= Limit && NewBytes <= Limit - OtherBytes;
}

} // namespace chivebeam
