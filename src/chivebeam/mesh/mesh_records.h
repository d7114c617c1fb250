#pragma once

#include <string>

#include "base/error.h"
#include "membership/home_record.h"
#include "moves/service_move.h"

namespace chivebeam {

/// Store keys of the records that the nodes of a mesh share.
class mesh_keys {
public:
  /// Prefix of all keys that watchers read.
  static std::string prefix();
  /// Prefix of the slots of watchers. A slot holds the record of its watcher,
  /// under the lease of that node.
  static std::string watchers();
  static std::string watcher(const failure_domain &Domain, unsigned Number);
  /// Record of the backend server beside a node, without a lease: only the next
  /// process of the node reads it.
  static std::string worker(const node_id &Node);
  /// Prefix of the moves, one key for each service, without a lease.
  static std::string moves();
  static std::string move(const service_name &Service);
  /// Key with the name of the node that coordinates the moves, under its lease.
  static std::string coordinator();
};

/// Reads and writes the JSON records that a mesh keeps in the store. A cold
/// start is written as its remaining time, since the clocks of nodes may
/// differ. Thread safe.
std::string writeHomeRecord(const home_record &Record, instant Now);
result<home_record> readHomeRecord(std::string_view Text, instant Now);
std::string writeServiceMove(const service_move &Move);
result<service_move> readServiceMove(std::string_view Text);

} // namespace chivebeam
