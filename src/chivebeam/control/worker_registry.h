#pragma once

#include <string>

#include "base/address.h"
#include "base/error.h"
#include "membership/member_record.h"

namespace chivebeam {

/// What a backend server says of itself.
struct worker_announcement {
  service_name Service;
  version_name Version;
  address Worker;
  unsigned Slots = 0;
  bool Leaving = false;
};

/// Reads an announcement and reports every mistake at once.
checked<worker_announcement> readAnnouncement(std::string_view Text);

/// Follows the life of the backend server beside this node by the chart
/// "worker": announcements are its heartbeat. Not thread safe.
class worker_registry {
public:
  /// Takes in an announcement; returns true if the record changed.
  bool handleAnnouncement(const worker_announcement &Announcement, instant Now);
  /// Notices missed heartbeats; returns true if the record changed.
  bool tick(instant Now);

  const worker_record &record() const { return Record; }
  const address &workerAddress() const { return Worker; }

private:
  bool fireEvent(std::string_view Event, instant Now);

  std::string State = "absent";
  worker_record Record;
  address Worker;
  instant LastAnnouncement;
};

} // namespace chivebeam
