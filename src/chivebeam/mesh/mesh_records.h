#pragma once

#include <string>

#include "base/error.h"
#include "membership/home_record.h"
#include "moves/service_move.h"

namespace chivebeam {

/// Keys under which a mesh keeps what it knows in the store.
class mesh_keys {
public:
  static std::string prefix();
  /// Records of home nodes, each under the lease of its node.
  static std::string homes();
  static std::string home(const node_id &Node);
  /// Backend servers that have said that they leave, by node, without a lease:
  /// a process that starts beside one has to know.
  static std::string leaving(const node_id &Node);
  /// Moves, by service, without a lease.
  static std::string moves();
  static std::string move(const service_name &Service);
  /// Names the node that conducts the moves, under its lease.
  static std::string coordinator();
};

/// The text of what a mesh keeps in the store: JSON. A cold start is written
/// with the time that it still lasts, since clocks need not agree.
/// Thread safe.
std::string writeHomeRecord(const home_record &Record, instant Now);
result<home_record> readHomeRecord(std::string_view Text, instant Now);
std::string writeServiceMove(const service_move &Move);
result<service_move> readServiceMove(std::string_view Text);

} // namespace chivebeam
