#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace chivebeam {

/// Transition out of a state. It is taken when its event arrives and its guard,
/// if it has one, is true.
struct chart_transition {
  std::string Event;
  std::string Guard; ///< empty if the transition is unconditional
  std::string Target;
  std::vector<std::string> Actions;
};

struct chart_step {
  std::string State;
  std::vector<std::string> Actions;
  bool Taken = false; ///< false if the event is ignored in this state
};

/// A state chart that is loaded from JSON with comments and interpreted.
/// Loading checks that every target exists, that every state is reachable, that
/// exactly the final states have no transitions, and that transitions use only
/// declared events, guards and actions. Immutable; thread safe.
class state_chart {
public:
  using guard_check = std::function<bool(std::string_view Guard)>;

  static checked<state_chart> load(std::string_view Text);

  /// Returns the effect of Event in State. Takes the first transition for the
  /// event whose guard is true. \pre State is one of this chart's states.
  chart_step step(std::string_view State, std::string_view Event,
                  const guard_check &Holds) const;

  const std::string &name() const { return Name; }
  const std::string &initial() const { return Initial; }
  bool isFinal(std::string_view State) const;

private:
  friend class state_chart_loader;

  struct state {
    bool Final = false;
    std::vector<chart_transition> Transitions;
  };

  std::string Name;
  std::string Initial;
  std::map<std::string, state, std::less<>> States;
};

} // namespace chivebeam
