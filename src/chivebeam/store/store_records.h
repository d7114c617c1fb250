#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/error.h"
#include "base/names.h"
#include "store/config_store.h"

namespace chivebeam {

/// Value of the head key: identifies the newest source. The source itself has
/// its own key, so that polling the head stays cheap.
struct head_record {
  config_number Number;
  publish_id Id;
};

std::string writeHead(const head_record &Head);
checked<head_record> readHead(std::string_view Text);

/// Value of a watcher key: the holder's address and lease. The lease id lets a
/// node distinguish its own record from one that it wrote before a restart.
struct watcher_record {
  address Peer;
  lease_id Lease;
};

std::string writeWatcherRecord(const watcher_record &Record);
/// Returns nothing if the text is not a watcher record.
std::optional<watcher_record> readWatcherRecord(std::string_view Text);

} // namespace chivebeam
