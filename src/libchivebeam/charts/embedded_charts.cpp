#include "charts/embedded_charts.h"

#include <stdexcept>

namespace chivebeam {

namespace {

std::map<std::string, state_chart, std::less<>> loadAll() {
  std::map<std::string, state_chart, std::less<>> Charts;
  for (const embedded_chart &Embedded : embeddedCharts()) {
    checked<state_chart> Chart = state_chart::load(Embedded.Text);
    if (!Chart)
      throw std::logic_error("embedded chart " + std::string(Embedded.Name) +
                             ": " + Chart.error().front().text());
    Charts.emplace(Embedded.Name, std::move(*Chart));
  }
  return Charts;
}

} // namespace

const state_chart &shippedChart(std::string_view Name) {
  static const auto Charts = loadAll();
  auto Found = Charts.find(Name);
  if (Found == Charts.end())
    throw std::logic_error("no embedded chart is named " + std::string(Name));
  return Found->second;
}

} // namespace chivebeam
