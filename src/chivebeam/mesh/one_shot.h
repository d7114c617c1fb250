#pragma once

#include <memory>
#include <optional>

#include "net/asio_types.h"

namespace chivebeam {

/// A value that is set once and that one coroutine waits for; later values are
/// ignored. Copies share the value. Runs on one io_context; not thread safe.
template <typename Value> class one_shot {
public:
  explicit one_shot(const asio::any_io_executor &Executor)
      : State(std::make_shared<state>(Executor)) {}

  void set(Value Item) const {
    if (State->Item)
      return;
    State->Item = std::move(Item);
    State->Timer.cancel();
  }
  bool isSet() const { return State->Item.has_value(); }

  /// Waits for the value at most for Duration; returns empty if it is not set
  /// by then. Only one coroutine may wait at a time.
  awaitable<std::optional<Value>> wait(microseconds Duration) const {
    std::shared_ptr<state> Kept = State;
    if (!Kept->Item) {
      Kept->Timer.expires_after(Duration);
      error_code Ignored;
      co_await Kept->Timer.async_wait(orError(Ignored));
    }
    co_return std::move(Kept->Item);
  }

private:
  struct state {
    explicit state(const asio::any_io_executor &Executor) : Timer(Executor) {}
    asio::steady_timer Timer;
    std::optional<Value> Item;
  };

  std::shared_ptr<state> State;
};

} // namespace chivebeam
