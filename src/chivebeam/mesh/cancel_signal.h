#pragma once

#include <functional>
#include <memory>

namespace chivebeam {

/// Tells whoever works on a call that its caller is gone. Copies share the
/// state. Runs on one io_context; not thread safe.
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
  /// Sets what is done at the signal, in place of the handler before; null for
  /// nothing. Does not call it if the signal has come already.
  void onRaise(handler Handler) const { State->Handler = std::move(Handler); }

private:
  struct state {
    bool Raised = false;
    handler Handler;
  };

  std::shared_ptr<state> State;
};

} // namespace chivebeam
