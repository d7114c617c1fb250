#pragma once

#include <string>
#include <vector>

#include <boost/json.hpp>

#include "base/error.h"
#include "base/names.h"
#include "base/units.h"
#include "config/caller_limits.h"
#include "config/workspace.h"

namespace chivebeam {

/// One of several services that share a route's calls in proportion to their
/// weights.
struct weighted_service {
  service_name Service;
  unsigned Weight = 1;
};

/// Selects calls by host, path and method, and names the service for them.
struct route_rule {
  route_name Name;
  std::string Host; ///< empty matches every host
  std::string PathPrefix;
  std::vector<std::string> Methods; ///< empty matches every method
  service_name Service;
  bool Idempotent = false;
  milliseconds Deadline{0};
  unsigned RetryBudgetPercent = 0;     ///< retries in percent of recent calls
  std::vector<weighted_service> Split; ///< empty: all calls go to Service
  /// Latency goal; an answer that arrives later is worth less. Zero: none.
  milliseconds Goal{0};
  unsigned Urgency = 0; ///< rank among routes; 0 is the most urgent
  /// Backend servers that one call may be sent to. Zero: limited only by the
  /// retry budget.
  unsigned MaxWorkers = 0;
  /// Calls need no API key even if the configuration has workspaces.
  bool AllowsAnonymous = false;
};

/// A gradual change (rollout) of one service's traffic to another version.
struct move_rule {
  move_id Id;
  service_name Service;
  version_name From;
  version_name To;
  instant Start;
  instant Deadline;   ///< the verdict is due by then
  bool Brief = false; ///< steps take seconds, see move_profile
};

/// The operators' rules for routes and moves. Value type.
struct rule_set {
  std::vector<route_rule> Routes;
  std::vector<move_rule> Moves;
  caller_limits Limits;
  std::vector<workspace> Workspaces; ///< empty: calls need no API key
};

/// Reads and validates one move. Appends all errors found to Errors.
move_rule readMoveRule(const boost::json::value &Value, std::string Path,
                       error_list &Errors);

/// Reads and validates the rules. Returns all errors found.
checked<rule_set> readRules(const boost::json::value &Document);

} // namespace chivebeam
