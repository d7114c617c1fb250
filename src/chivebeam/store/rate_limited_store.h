#pragma once

#include "config/store_rate_limiter.h"
#include "net/event_loop_clock.h"
#include "store/config_store.h"

namespace chivebeam {

/// Delays each call until the node's call budget allows it.
class rate_limited_store : public config_store {
public:
  /// \pre Inner, RateLimiter and Clock outlive this object.
  rate_limited_store(config_store &Inner, store_rate_limiter &RateLimiter,
                     event_loop_clock &Clock)
      : Inner(Inner), RateLimiter(RateLimiter), Clock(Clock) {}

  awaitable<result<range_answer>> range(std::string Key,
                                        bool IsPrefix) override;
  awaitable<result<range_answer>> page(std::string Prefix, std::string After,
                                       unsigned Limit) override;
  awaitable<result<transaction_answer>>
  commit(store_transaction Transaction) override;
  awaitable<result<lease_id>> grantLease(seconds TimeToLive) override;
  awaitable<result<bool>> keepLease(lease_id Lease) override;
  awaitable<result<void>> revokeLease(lease_id Lease) override;
  awaitable<error> watch(std::string Prefix, store_revision From,
                         watch_handler Handler) override;
  void cancelWatch() override { Inner.cancelWatch(); }

private:
  awaitable<void> waitForCallBudget(store_call Call);

  config_store &Inner;
  store_rate_limiter &RateLimiter;
  event_loop_clock &Clock;
};

} // namespace chivebeam
