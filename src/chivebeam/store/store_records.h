#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/error.h"
#include "base/names.h"
#include "store/config_store.h"

namespace chivebeam {

/// Value of the head's key: which source is the newest. The source itself has
/// a key of its own, so that polling the head stays cheap.
struct head_record {
  config_number Number;
  publish_id Id;
};

std::string writeHead(const head_record &Head);
checked<head_record> readHead(std::string_view Text);

/// Value of a seat's key: who holds it and under which lease, so that a holder
/// can tell its own seat from one that it held in an earlier life.
struct watcher_record {
  address Peer;
  lease_id Lease;
};

std::string writeWatcherRecord(const watcher_record &Record);
/// Returns nothing if the text is not a seat.
std::optional<watcher_record> readWatcherRecord(std::string_view Text);

} // namespace chivebeam
