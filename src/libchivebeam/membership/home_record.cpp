#include "membership/home_record.h"

#include <tuple>

namespace chivebeam {

bool isNewer(const home_record &New, const home_record &Old) {
  auto OrderOf = [](const home_record &Record) {
    return std::tuple(Record.Start.StartedAtMs, Record.Report, Record.Change,
                      Record.Gone);
  };
  return OrderOf(New) > OrderOf(Old);
}

bool mattersToOthers(const home_record &Record) {
  return !Record.Start.Worker.empty() || Record.Watches || Record.Coordinates;
}

bool takesCalls(const home_record &Record) {
  return !Record.NodeLeaving && !Record.Gone &&
         Record.Worker.State == worker_state::ready;
}

} // namespace chivebeam
