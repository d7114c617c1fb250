#pragma once

#include "mesh/mesh_state.h"
#include "routing/called_services.h"
#include "routing/expected_latency_picker.h"
#include "routing/windowed_retry_budget.h"

namespace chivebeam {

/// How loaded the services are that the backend server beside this node calls.
/// Runs on one io_context; not thread safe.
class downstream_services {
public:
  /// \pre State, Picker and Budget outlive the object.
  downstream_services(const mesh_state &State,
                      const expected_latency_picker &Picker,
                      windowed_retry_budget &Budget)
      : State(State), Picker(Picker), RetryBudget(Budget) {}

  void recordNestedCall(const service_name &Service, instant Now) {
    Called.recordNestedCall(Service, Now);
  }
  /// Returns the highest refusal ratios of the services, by urgency.
  refusal_ratios refusals(instant Now) const;
  /// Returns the used part of the retry budgets of the services, in permille:
  /// the highest value of them.
  unsigned retryBudgetUsage(instant Now);

private:
  const mesh_state &State;
  const expected_latency_picker &Picker;
  windowed_retry_budget &RetryBudget;
  called_services Called;
};

} // namespace chivebeam
