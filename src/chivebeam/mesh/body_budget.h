#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "limits/body_account.h"

namespace chivebeam {

class body_reservation;

/// Limits the bodies of one kind that are held in memory together. Not thread
/// safe.
class body_budget {
public:
  body_budget(std::shared_ptr<body_account> Account, body_kind Kind)
      : Account(std::move(Account)), Kind(Kind) {}
  body_budget(const body_budget &) = delete;
  body_budget &operator=(const body_budget &) = delete;

  /// Reserves memory for a body; empty if there is not enough left.
  std::optional<body_reservation> reserve(std::uint64_t Bytes);
  std::uint64_t reservedBytes() const { return Account->usedBytes(Kind); }

private:
  std::shared_ptr<body_account>
      Account; ///< reservations may outlive the budget
  body_kind Kind;
};

/// Bytes that are reserved in a budget until the end of this object. Not thread
/// safe.
class body_reservation {
public:
  body_reservation(body_reservation &&Other) noexcept
      : Account(std::move(Other.Account)), Kind(Other.Kind),
        Bytes(std::exchange(Other.Bytes, 0)) {}
  body_reservation &operator=(body_reservation &&Other) noexcept {
    std::swap(Account, Other.Account);
    std::swap(Kind, Other.Kind);
    std::swap(Bytes, Other.Bytes);
    return *this;
  }
  ~body_reservation() {
    if (Account)
      Account->resize(Kind, Bytes, 0);
  }

  /// Raises the reservation to this size; returns false, and changes nothing,
  /// if there is not enough memory left.
  bool growTo(std::uint64_t NewBytes) {
    if (NewBytes <= Bytes)
      return true;
    if (!Account->resize(Kind, Bytes, NewBytes))
      return false;
    Bytes = NewBytes;
    return true;
  }

  std::uint64_t bytes() const { return Bytes; }

private:
  friend class body_budget;
  body_reservation(std::shared_ptr<body_account> Owner, body_kind OfKind)
      : Account(std::move(Owner)), Kind(OfKind) {}

  std::shared_ptr<body_account> Account;
  body_kind Kind;
  std::uint64_t Bytes = 0;
};

/// Limits the bodies of a process. Not thread safe.
struct body_memory {
  explicit body_memory(const body_account &Whole)
      : body_memory(std::make_shared<body_account>(Whole)) {}

  body_budget Requests; ///< while anything holds them
  body_budget Answers;  ///< until their last byte is sent

private:
  explicit body_memory(const std::shared_ptr<body_account> &Account)
      : Requests(Account, body_kind::request),
        Answers(Account, body_kind::answer) {}
};

inline std::optional<body_reservation>
body_budget::reserve(std::uint64_t Bytes) {
  body_reservation Reservation(Account, Kind);
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
