#pragma once

#include <cstdint>
#include <optional>
#include <utility>

namespace chivebeam {

class body_reservation;

/// Limits the bytes of bodies that are held in memory together. Not thread
/// safe.
class body_budget {
public:
  explicit body_budget(std::uint64_t MaxBytes) : MaxBytes(MaxBytes) {}
  body_budget(const body_budget &) = delete;
  body_budget &operator=(const body_budget &) = delete;

  /// Reserves memory for a body; empty if there is not enough left. \pre The
  /// budget outlives the reservation.
  std::optional<body_reservation> reserve(std::uint64_t Bytes);
  std::uint64_t reservedBytes() const { return ReservedBytes; }

private:
  friend class body_reservation;
  std::uint64_t MaxBytes;
  std::uint64_t ReservedBytes = 0;
};

/// Bytes that are reserved in a budget until the end of this object. Not thread
/// safe.
class body_reservation {
public:
  body_reservation(body_reservation &&Other) noexcept
      : Budget(std::exchange(Other.Budget, nullptr)), Bytes(Other.Bytes) {}
  body_reservation &operator=(body_reservation &&Other) noexcept {
    std::swap(Budget, Other.Budget);
    std::swap(Bytes, Other.Bytes);
    return *this;
  }
  ~body_reservation() {
    if (Budget)
      Budget->ReservedBytes -= Bytes;
  }

private:
  friend class body_budget;
  body_reservation(body_budget &Owner, std::uint64_t Size)
      : Budget(&Owner), Bytes(Size) {
    Budget->ReservedBytes += Bytes;
  }

  body_budget *Budget;
  std::uint64_t Bytes;
};

/// Limits the bodies of a process. Not thread safe.
struct body_memory {
  body_budget Requests; ///< while their calls are open
  body_budget Answers;  ///< that wait to be sent to other nodes
};

inline std::optional<body_reservation>
body_budget::reserve(std::uint64_t Bytes) {
  if (Bytes > MaxBytes - ReservedBytes)
    return std::nullopt;
  return body_reservation(*this, Bytes);
}

} // namespace chivebeam
