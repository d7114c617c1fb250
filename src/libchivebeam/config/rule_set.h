#pragma once

#include <string>
#include <vector>

#include <boost/json.hpp>

#include "base/error.h"
#include "base/names.h"
#include "base/units.h"
#include "config/caller_limits.h"

namespace chivebeam {

/// One part of a route whose calls are divided between services.
struct weighted_service {
  service_name Service;
  unsigned Weight = 1;
};

struct route_rule {
  route_name Name;
  std::string Host; ///< empty matches every host
  std::string PathPrefix;
  std::vector<std::string> Methods; ///< empty matches every method
  service_name Service;
  bool Idempotent = false;
  milliseconds Deadline{0};
  unsigned RetryBudgetPercent = 0;     ///< retries as a share of recent calls
  std::vector<weighted_service> Split; ///< empty: all calls go to Service
  milliseconds Goal{0};    ///< an answer within it is worth most; zero: none
  unsigned Urgency = 0;    ///< rank among routes; 0 is the most urgent
  unsigned MaxWorkers = 0; ///< backend servers that one call may reach; zero:
                           ///< the retry budget alone decides
};

struct move_rule {
  move_id Id;
  service_name Service;
  version_name From;
  version_name To;
  instant Start;
  instant Deadline;
  bool Brief = false; ///< steps go by seconds; see move_pace
};

/// The operators' rules on routes and rollouts. A plain value.
struct rule_set {
  std::vector<route_rule> Routes;
  std::vector<move_rule> Moves;
  caller_limits Limits;
};

/// Reads one move and adds its mistakes to Errors.
move_rule readMoveRule(const boost::json::value &Value, std::string Path,
                       error_list &Errors);

/// Reads rules and reports every mistake at once.
checked<rule_set> readRules(const boost::json::value &Document);

} // namespace chivebeam
