#pragma once

#include <functional>
#include <memory>

namespace chivebeam {

/// Signals to the code that runs a call that its caller is gone. Copies share
/// the state. Runs on one io_context; not thread safe.
class cancel_signal {
public:
  using handler = std::function<void()>;

  cancel_signal() : State(std::make_shared<state>()) {}

  void raise() const {
    if (State->Raised)
      return;
    State->Raised = true;
    if (handler Handler = std::move(State->Handler))
      Handler();
  }
  bool raised() const { return State->Raised; }
  /// Sets the handler to call when the signal is raised, in place of the
  /// previous one; null for none. Does not call it if the signal is already
  /// raised.
  void onRaise(handler Handler) const { State->Handler = std::move(Handler); }

private:
  struct state {
    bool Raised = false;
    handler Handler;
  };

  std::shared_ptr<state> State;
};

} // namespace chivebeam
