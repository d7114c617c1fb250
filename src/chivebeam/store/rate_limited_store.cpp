#include "store/rate_limited_store.h"

namespace chivebeam {

awaitable<void> rate_limited_store::waitForCallBudget(store_call Call) {
  microseconds Delay = RateLimiter.reserve(Call, Clock.now());
  if (Delay > microseconds(0))
    co_await Clock.sleep(Delay);
}

awaitable<result<range_answer>> rate_limited_store::range(std::string Key,
                                                          bool IsPrefix) {
  co_await waitForCallBudget(store_call::read);
  co_return co_await Inner.range(std::move(Key), IsPrefix);
}

awaitable<result<range_answer>> rate_limited_store::page(std::string Prefix,
                                                         std::string After,
                                                         unsigned Limit) {
  co_await waitForCallBudget(store_call::read);
  co_return co_await Inner.page(std::move(Prefix), std::move(After), Limit);
}

awaitable<result<transaction_answer>>
rate_limited_store::commit(store_transaction Transaction) {
  co_await waitForCallBudget(store_call::write);
  co_return co_await Inner.commit(std::move(Transaction));
}

awaitable<result<lease_id>> rate_limited_store::grantLease(seconds TimeToLive) {
  co_await waitForCallBudget(store_call::write);
  co_return co_await Inner.grantLease(TimeToLive);
}

awaitable<result<bool>> rate_limited_store::keepLease(lease_id Lease) {
  co_await waitForCallBudget(store_call::write);
  co_return co_await Inner.keepLease(Lease);
}

awaitable<result<void>> rate_limited_store::revokeLease(lease_id Lease) {
  co_await waitForCallBudget(store_call::write);
  co_return co_await Inner.revokeLease(Lease);
}

awaitable<error> rate_limited_store::watch(std::string Prefix,
                                           store_revision From,
                                           watch_handler Handler) {
  co_await waitForCallBudget(store_call::read);
  co_return co_await Inner.watch(std::move(Prefix), From, std::move(Handler));
}

} // namespace chivebeam
