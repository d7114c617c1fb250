#include "routing/body_admission.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Bytes that may be in transit at the same time, given as transfer time.
/// Longer than a round trip, so that the link never idles.
constexpr double WindowSeconds = 0.06;
/// An offer that misses its goal but not its deadline is queued only while
/// fewer than this many wait, so that the queue does not delay every body.
constexpr std::size_t MaxLateWaiting = 2;

std::uint64_t bytesOf(const std::vector<body_offer> &Offers) {
  std::uint64_t Bytes = 0;
  for (const body_offer &Offer : Offers)
    Bytes += Offer.Bytes;
  return Bytes;
}

bool erase(std::vector<body_offer> &Offers, call_number Call) {
  return std::erase_if(Offers, [&](const body_offer &Offer) {
           return Offer.Call == Call;
         }) > 0;
}

} // namespace

microseconds body_admission::transferTime(std::uint64_t Bytes) const {
  if (BytesPerSecond <= 0)
    return microseconds(0);
  return microseconds(static_cast<std::int64_t>(static_cast<double>(Bytes) *
                                                1e6 / BytesPerSecond));
}

bool body_admission::hasCapacity(std::uint64_t Bytes) const {
  if (BytesPerSecond <= 0 || InTransit.empty())
    return true;
  return static_cast<double>(bytesOf(InTransit) + Bytes) <=
         BytesPerSecond * WindowSeconds;
}

std::uint64_t body_admission::bytesBefore(const body_offer &Offer) const {
  std::uint64_t Bytes = bytesOf(InTransit);
  for (const body_offer &Other : Waiting)
    if (Other.Call != Offer.Call && Other.Goal <= Offer.Goal)
      Bytes += Other.Bytes;
  return Bytes;
}

instant body_admission::expectedEnd(const body_offer &Offer,
                                    std::uint64_t Before, instant Now) const {
  return Now + transferTime(Before + Offer.Bytes) + Offer.RunDuration;
}

transfer_decision body_admission::offer(const body_offer &Offer, instant Now) {
  if (Now + transferTime(Offer.Bytes) > Offer.Deadline)
    return transfer_decision::refuse;
  if (Waiting.empty() && hasCapacity(Offer.Bytes)) {
    InTransit.push_back(Offer);
    return transfer_decision::send;
  }
  instant End = expectedEnd(Offer, bytesBefore(Offer), Now);
  bool Late = End > Offer.Goal;
  if (End > Offer.Deadline || (Late && Waiting.size() >= MaxLateWaiting))
    return transfer_decision::refuse;
  Waiting.push_back(Offer);
  return transfer_decision::wait;
}

transfer_update body_admission::transferEnded(call_number Call, instant Now) {
  if (!erase(InTransit, Call))
    erase(Waiting, Call);
  transfer_update Update = refuseUnservable(Now);
  admitWaiting(Update);
  return Update;
}

transfer_update body_admission::refuseUnservable(instant Now) {
  transfer_update Update;
  std::erase_if(Waiting, [&](const body_offer &Offer) {
    if (expectedEnd(Offer, 0, Now) <= Offer.Deadline)
      return false;
    Update.Refused.push_back(Offer.Call);
    return true;
  });
  return Update;
}

void body_admission::admitWaiting(transfer_update &Update) {
  while (!Waiting.empty()) {
    auto First =
        std::min_element(Waiting.begin(), Waiting.end(),
                         [](const body_offer &Left, const body_offer &Right) {
                           return Left.Goal < Right.Goal;
                         });
    if (!hasCapacity(First->Bytes))
      return;
    Update.Admitted.push_back(First->Call);
    InTransit.push_back(*First);
    Waiting.erase(First);
  }
}

microseconds body_admission::excessWait(const body_offer &Offer,
                                        instant Now) const {
  instant End = expectedEnd(Offer, bytesBefore(Offer), Now);
  return std::max(End - std::max(Offer.Goal, Now), microseconds(0));
}

} // namespace chivebeam
