#pragma once

#include <optional>
#include <vector>

#include "base/units.h"
#include "routing/call_number.h"

namespace chivebeam {

/// Bodies beyond this size count as large: they cost more to send than a call
/// costs otherwise.
inline constexpr std::size_t LargeBodyBytes = 16 << 10;

/// A call whose body an entry node would send. A plain value.
struct body_offer {
  call_number Call;
  std::uint64_t Bytes = 0;
  instant Goal;                ///< an answer until then is worth most
  instant Deadline;            ///< an answer after it is worth nothing
  microseconds RunDuration{0}; ///< how long the call runs once its body is here
};

enum class transfer_decision {
  send,   ///< the body may come now
  wait,   ///< a later change says when
  refuse, ///< it can't come in time
};

/// What became of offers that waited.
struct transfer_update {
  std::vector<call_number> Admitted; ///< their bodies may come now
  std::vector<call_number> Refused;  ///< can't come in time any more
};

/// Decides which large bodies other nodes may send to this one. Its link takes
/// only so much: bodies that all come at once fill it, so that every one of
/// them is late and small calls wait behind them. About as many are let through
/// as keep the link busy; the others wait at their senders, the earliest goal
/// first, or are refused before a byte has crossed. Not thread safe.
class body_admission {
public:
  /// Zero bytes a second: the link's rate is unknown, and nothing waits.
  explicit body_admission(double BytesPerSecond)
      : BytesPerSecond(BytesPerSecond) {}

  transfer_decision offer(const body_offer &Offer, instant Now);
  /// A body has come, or its offer was withdrawn.
  transfer_update transferEnded(call_number Call, instant Now);
  /// Refuses what can't come in time any more.
  transfer_update refuseUnservable(instant Now);
  /// Returns after how long there may be room for a body that was refused.
  microseconds excessWait(const body_offer &Offer, instant Now) const;
  std::size_t waiting() const { return Waiting.size(); }
  std::size_t inTransit() const { return InTransit.size(); }

private:
  microseconds transferTime(std::uint64_t Bytes) const;
  std::uint64_t bytesBefore(const body_offer &Offer) const;
  instant expectedEnd(const body_offer &Offer, std::uint64_t Before,
                      instant Now) const;
  bool hasCapacity(std::uint64_t Bytes) const;
  void admitWaiting(transfer_update &Change);

  double BytesPerSecond;
  std::vector<body_offer> InTransit;
  std::vector<body_offer> Waiting;
};

} // namespace chivebeam
