#include "charts/state_chart.h"

#include "charts/state_chart_loader.h"

namespace chivebeam {

checked<state_chart> state_chart::load(std::string_view Text) {
  return state_chart_loader().load(Text);
}

chart_step state_chart::step(std::string_view State, std::string_view Event,
                             const guard_check &Holds) const {
  auto Found = States.find(State);
  if (Found == States.end())
    return {std::string(State), {}, false};
  for (const chart_transition &Transition : Found->second.Transitions)
    if (Transition.Event == Event &&
        (Transition.Guard.empty() || Holds(Transition.Guard)))
      return {Transition.Target, Transition.Actions, true};
  return {std::string(State), {}, false};
}

bool state_chart::isFinal(std::string_view State) const {
  auto Found = States.find(State);
  return Found != States.end() && Found->second.Final;
}

} // namespace chivebeam
