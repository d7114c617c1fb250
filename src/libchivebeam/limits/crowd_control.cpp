#include "limits/crowd_control.h"

#include <algorithm>

namespace chivebeam {

namespace {

double bytesPerSecond(const transfer_progress &Transfer) {
  return static_cast<double>(Transfer.Bytes) /
         std::chrono::duration<double>(Transfer.Age).count();
}

} // namespace

std::size_t connection_limit::ofCallers(unsigned MaxDescriptors,
                                        const door_limits &Limits) {
  unsigned Rest = MaxDescriptors > Limits.ReservedDescriptors
                      ? MaxDescriptors - Limits.ReservedDescriptors
                      : 0;
  return std::max({Rest, MaxDescriptors / MinPart, 1U});
}

bool crowd_control::isSlow(const transfer_progress &Transfer,
                           const door_limits &Limits) {
  return bytesPerSecond(Transfer) <
         static_cast<double>(Limits.MinBytesPerSecond);
}

std::vector<std::size_t>
crowd_control::slowest(const std::vector<transfer_progress> &Transfers,
                       std::size_t MaxCount, const door_limits &Limits) {
  std::vector<std::size_t> Slow;
  for (std::size_t Index = 0; Index < Transfers.size(); ++Index) {
    const transfer_progress &Transfer = Transfers[Index];
    microseconds MinAge =
        Transfer.IsAnswer ? Limits.minAnswerAge() : Limits.MinRequestAge;
    if (Transfer.Age >= MinAge && isSlow(Transfer, Limits))
      Slow.push_back(Index);
  }
  std::sort(Slow.begin(), Slow.end(), [&](std::size_t Left, std::size_t Right) {
    return bytesPerSecond(Transfers[Left]) < bytesPerSecond(Transfers[Right]);
  });
  Slow.resize(std::min(Slow.size(), MaxCount));
  return Slow;
}

} // namespace chivebeam
