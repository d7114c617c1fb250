#include "limits/crowd_control.h"

#include <algorithm>

namespace chivebeam {

namespace {

double bytesPerSecond(const transfer_progress &Transfer) {
  return static_cast<double>(Transfer.Bytes) /
         std::chrono::duration<double>(Transfer.Age).count();
}

} // namespace

std::size_t connection_limit::ofCallers(unsigned MaxDescriptors) {
  unsigned Rest = MaxDescriptors > ReservedDescriptors
                      ? MaxDescriptors - ReservedDescriptors
                      : 0;
  return std::max({Rest, MaxDescriptors / MinPart, 1U});
}

bool crowd_control::isSlow(const transfer_progress &Transfer) {
  return bytesPerSecond(Transfer) < static_cast<double>(MinBytesPerSecond);
}

std::vector<std::size_t>
crowd_control::slowest(const std::vector<transfer_progress> &Transfers,
                       std::size_t MaxCount) {
  std::vector<std::size_t> Slow;
  for (std::size_t Index = 0; Index < Transfers.size(); ++Index) {
    const transfer_progress &Transfer = Transfers[Index];
    if (Transfer.Age >= (Transfer.IsAnswer ? MinAnswerAge : MinAge) &&
        isSlow(Transfer))
      Slow.push_back(Index);
  }
  std::sort(Slow.begin(), Slow.end(), [&](std::size_t Left, std::size_t Right) {
    return bytesPerSecond(Transfers[Left]) < bytesPerSecond(Transfers[Right]);
  });
  Slow.resize(std::min(Slow.size(), MaxCount));
  return Slow;
}

} // namespace chivebeam
