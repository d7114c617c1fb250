#pragma once

#include <boost/json.hpp>

#include "base/object_reader.h"
#include "charts/state_chart.h"

namespace chivebeam {

/// Parses and validates one chart. An object loads a single chart.
class state_chart_loader {
public:
  checked<state_chart> load(std::string_view Text);

private:
  void readDocument(const boost::json::value &Document);
  void readNames(object_reader &Reader, std::string_view Key,
                 std::set<std::string> &Names);
  void readStates(const boost::json::value *States);
  void readState(const std::string &Name, const boost::json::value &Value);
  chart_transition readTransition(const boost::json::value &Value,
                                  const std::string &Path);
  void requireDeclared(const std::set<std::string> &Names,
                       const std::string &Name, const std::string &Path);
  void checkTargets();
  void checkReachable();
  void fail(std::string Path, std::string Message, std::string Remedy);

  state_chart Chart;
  std::set<std::string> Events;
  std::set<std::string> Guards;
  std::set<std::string> Actions;
  error_list Errors;
};

} // namespace chivebeam
