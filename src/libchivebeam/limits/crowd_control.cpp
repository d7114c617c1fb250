#include "limits/crowd_control.h"

#include <algorithm>

namespace chivebeam {

std::size_t connection_limit::ofCallers(unsigned MaxDescriptors) {
  unsigned Rest = MaxDescriptors > ReservedDescriptors
                      ? MaxDescriptors - ReservedDescriptors
                      : 0;
  return std::max({Rest, MaxDescriptors / MinPart, 1U});
}

std::vector<std::size_t>
crowd_control::slowest(const std::vector<request_progress> &Requests,
                       std::size_t MaxCount) {
  auto BytesPerSecond = [&](std::size_t Index) {
    return static_cast<double>(Requests[Index].ReceivedBytes) /
           std::chrono::duration<double>(Requests[Index].Age).count();
  };
  std::vector<std::size_t> Slow;
  for (std::size_t Index = 0; Index < Requests.size(); ++Index)
    if (Requests[Index].Age >= MinAge &&
        BytesPerSecond(Index) < static_cast<double>(MinBytesPerSecond))
      Slow.push_back(Index);
  std::sort(Slow.begin(), Slow.end(), [&](std::size_t Left, std::size_t Right) {
    return BytesPerSecond(Left) < BytesPerSecond(Right);
  });
  Slow.resize(std::min(Slow.size(), MaxCount));
  return Slow;
}

} // namespace chivebeam
