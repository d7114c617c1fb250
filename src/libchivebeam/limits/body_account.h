#pragma once

#include <array>
#include <cstdint>

#include "limits/door_limits.h"

namespace chivebeam {

enum class body_kind { request, answer };

/// Decides which bodies the memory of a process holds. The parts of both kinds
/// are one account, so that one kind may use what the other does not need. Each
/// keeps a floor that the other can't take, and a sixteenth of its part for its
/// small bodies, which no crowd of large ones can take. Not thread safe.
class body_account {
public:
  /// \param SmallBytes bodies up to this size are small
  body_account(std::uint64_t RequestBytes, std::uint64_t AnswerBytes,
               std::uint64_t SmallBytes);
  /// The account of a process with this memory.
  body_account(std::uint64_t MemoryBytes, const door_limits &Limits);

  /// Changes a body of HeldBytes to NewBytes; returns false, and changes
  /// nothing, if there is no room for it. One that doesn't grow always has
  /// room. \pre the account holds HeldBytes for a body of this kind
  bool resize(body_kind Kind, std::uint64_t HeldBytes, std::uint64_t NewBytes);
  /// Returns the bytes of all bodies of a kind.
  std::uint64_t usedBytes(body_kind Kind) const;

private:
  struct part {
    std::uint64_t SmallReserve = 0; ///< for small bodies of the kind alone
    std::uint64_t Floor = 0;        ///< of the shared memory
    std::uint64_t SmallUsed = 0;
    std::uint64_t LargeUsed = 0;

    std::uint64_t &used(bool IsSmall) {
      return IsSmall ? SmallUsed : LargeUsed;
    }
    /// Returns the bytes that the kind uses of the shared memory.
    std::uint64_t sharedUsed() const;
  };

  static part makePart(std::uint64_t Bytes);
  part &of(body_kind Kind) { return Parts[static_cast<std::size_t>(Kind)]; }

  std::array<part, 2> Parts;
  std::uint64_t SharedBytes;
  std::uint64_t SmallBytes;
};

} // namespace chivebeam
