#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "limits/body_share.h"
#include "limits/door_limits.h"

namespace chivebeam {

class body_reservation;

/// Limits the bytes of bodies that are held in memory together. Not thread
/// safe.
class body_budget {
public:
  /// \param SmallBytes larger bodies leave a part to those up to this size
  explicit body_budget(std::uint64_t MaxBytes,
                       std::uint64_t SmallBytes = door_limits().SmallBodyBytes)
      : Account(std::make_shared<account>(account{MaxBytes, SmallBytes})) {}
  body_budget(const body_budget &) = delete;
  body_budget &operator=(const body_budget &) = delete;

  /// Reserves memory for a body; empty if there is not enough left.
  std::optional<body_reservation> reserve(std::uint64_t Bytes);
  std::uint64_t reservedBytes() const { return Account->ReservedBytes; }

private:
  friend class body_reservation;
  struct account {
    std::uint64_t MaxBytes;
    std::uint64_t SmallBytes;
    std::uint64_t ReservedBytes = 0;
  };

  std::shared_ptr<account> Account; ///< reservations may outlive the budget
};

/// Bytes that are reserved in a budget until the end of this object. Not thread
/// safe.
class body_reservation {
public:
  body_reservation(body_reservation &&Other) noexcept
      : Account(std::move(Other.Account)),
        Bytes(std::exchange(Other.Bytes, 0)) {}
  body_reservation &operator=(body_reservation &&Other) noexcept {
    std::swap(Account, Other.Account);
    std::swap(Bytes, Other.Bytes);
    return *this;
  }
  ~body_reservation() {
    if (Account)
      Account->ReservedBytes -= Bytes;
  }

  /// Raises the reservation to this size; returns false, and changes nothing,
  /// if there is not enough memory left.
  bool growTo(std::uint64_t NewBytes) {
    if (NewBytes <= Bytes)
      return true;
    if (!mayHold(Account->MaxBytes, Account->ReservedBytes, Bytes, NewBytes,
                 Account->SmallBytes))
      return false;
    Account->ReservedBytes += NewBytes - std::exchange(Bytes, NewBytes);
    return true;
  }

  std::uint64_t bytes() const { return Bytes; }

private:
  friend class body_budget;
  explicit body_reservation(std::shared_ptr<body_budget::account> Owner)
      : Account(std::move(Owner)) {}

  std::shared_ptr<body_budget::account> Account;
  std::uint64_t Bytes = 0;
};

/// Limits the bodies of a process. Not thread safe.
struct body_memory {
  body_budget Requests; ///< while anything holds them
  body_budget Answers;  ///< from the backend server to the last byte sent
};

inline std::optional<body_reservation>
body_budget::reserve(std::uint64_t Bytes) {
  body_reservation Reservation(Account);
  if (!Reservation.growTo(Bytes))
    return std::nullopt;
  return Reservation;
}

/// Returns a body that keeps its reservation as long as anything holds it.
inline std::shared_ptr<const std::string>
makeReservedBody(std::string Body, body_reservation Reservation) {
  struct reserved_body {
    std::string Body;
    body_reservation Reservation;
  };
  auto Held = std::make_shared<reserved_body>(
      reserved_body{std::move(Body), std::move(Reservation)});
  return {Held, &Held->Body};
}

} // namespace chivebeam
