#include "commands/share_chart.h"

#include <cstdio>

#include "base/object_reader.h"

namespace chivebeam {

namespace {

constexpr unsigned BarWidth = 40;

} // namespace

std::string drawShares(const std::vector<timeline_point> &Points) {
  std::string Out;
  for (const timeline_point &Point : Points) {
    unsigned Filled = (Point.Share * BarWidth + FullShare - 1) / FullShare;
    char Percent[16];
    std::snprintf(Percent, sizeof Percent, "%6.2f%%",
                  Point.Share * 100.0 / FullShare);
    Out.append("  ").append(formatTime(Point.At)).append(Percent).append(" |");
    Out.append(Filled, '#').append(BarWidth - Filled, ' ').append("|");
    if (Point.Phase != move_phase::stepping)
      Out.append(" ").append(toString(Point.Phase));
    Out.append("\n");
  }
  return Out;
}

} // namespace chivebeam
