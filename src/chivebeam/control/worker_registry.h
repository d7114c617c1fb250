#pragma once

#include <string>

#include "base/address.h"
#include "base/error.h"
#include "membership/member_record.h"

namespace chivebeam {

/// Registration message of a backend server to the node beside it.
struct worker_announcement {
  service_name Service;
  version_name Version;
  address Worker;
  unsigned Slots = 0;
  bool Leaving = false;
};

/// Parses an announcement and returns all errors at once.
checked<worker_announcement> readAnnouncement(std::string_view Text);

/// Tracks the state of the backend server beside this node with the state chart
/// "worker". Announcements serve as heartbeats. Not thread safe.
class worker_registry {
public:
  /// Applies an announcement. Returns true if the record or the server's
  /// address has changed.
  bool handleAnnouncement(const worker_announcement &Announcement, instant Now);
  /// Checks for a missed heartbeat. Returns true if that has changed the
  /// record.
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
