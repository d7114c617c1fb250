#pragma once

#include <boost/json.hpp>

#include "base/error.h"
#include "moves/move_decider.h"

namespace chivebeam {

/// Converts the inputs and results of move decisions to and from the JSON of
/// journals and golden files. Thread safe.
boost::json::object toJson(const move_rule &Rule);
boost::json::object toJson(const move_progress &Progress);
boost::json::object toJson(const move_observation &Observation);

/// These add an error to Errors for each invalid field; Path is the JSON
/// pointer of Value.
move_progress progressFromJson(const boost::json::value &Value,
                               std::string Path, error_list &Errors);
move_observation observationFromJson(const boost::json::value &Value,
                                     std::string Path, error_list &Errors);

} // namespace chivebeam
