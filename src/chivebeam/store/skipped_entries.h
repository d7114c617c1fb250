#pragma once

#include <map>
#include <string>

#include "store/config_store.h"

namespace chivebeam {

/// Logs entries of the store that can't be read, each revision of a key once,
/// however often it is listed. Not thread safe.
class skipped_entries {
public:
  /// Logs an entry that is passed over because of a problem.
  void skip(const store_entry &Entry, const error &Problem);

private:
  std::map<std::string, store_revision> Logged;
};

} // namespace chivebeam
