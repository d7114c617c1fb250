#pragma once

#include <optional>
#include <vector>

#include "base/units.h"
#include "routing/call_number.h"

namespace chivebeam {

/// Larger bodies count as large: transferring them costs more than the rest of
/// a call.
inline constexpr std::size_t LargeBodyBytes = 16 << 10;

/// A call whose body an entry node offers to send. A plain value.
struct body_offer {
  call_number Call;
  std::uint64_t Bytes = 0;
  instant Goal;                ///< answers after it are worth less
  instant Deadline;            ///< answers after it are useless
  microseconds RunDuration{0}; ///< of the call, after its body has arrived
};

enum class transfer_decision {
  send,   ///< the body may be sent now
  wait,   ///< a later transfer_update decides
  refuse, ///< it would arrive too late
};

/// Waiting offers that were admitted or refused.
struct transfer_update {
  std::vector<call_number> Admitted; ///< their bodies may be sent now
  std::vector<call_number> Refused;  ///< would arrive too late
};

/// Decides which large bodies other nodes may send to this one. The bandwidth
/// of its link is limited: if all bodies are sent at once, all arrive late and
/// small calls wait behind them. Admits about as many transfers as keep the
/// link busy; the others wait at their senders, ordered by goal, or are refused
/// before any byte is sent. Not thread safe.
class body_admission {
public:
  /// A rate of zero means that the bandwidth is unknown; then nothing waits.
  explicit body_admission(double BytesPerSecond)
      : BytesPerSecond(BytesPerSecond) {}

  transfer_decision offer(const body_offer &Offer, instant Now);
  /// Call when a body has arrived or its offer was withdrawn.
  transfer_update transferEnded(call_number Call, instant Now);
  /// Refuses waiting offers whose call can no longer meet its deadline.
  transfer_update refuseUnservable(instant Now);
  /// Returns the time after which there may be capacity for a refused body.
  microseconds excessWait(const body_offer &Offer, instant Now) const;
  std::size_t waiting() const { return Waiting.size(); }
  std::size_t inTransit() const { return InTransit.size(); }

private:
  microseconds transferTime(std::uint64_t Bytes) const;
  std::uint64_t bytesBefore(const body_offer &Offer) const;
  instant expectedEnd(const body_offer &Offer, std::uint64_t Before,
                      instant Now) const;
  bool hasCapacity(std::uint64_t Bytes) const;
  void admitWaiting(transfer_update &Update);

  double BytesPerSecond;
  std::vector<body_offer> InTransit;
  std::vector<body_offer> Waiting;
};

} // namespace chivebeam
