#pragma once

#include <atomic>
#include <cstdint>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>

namespace chivebeam {

/// Bounded message queue from one event loop's thread to another's. The handler
/// runs on the consumer's io_context. If the queue is full, the message is
/// refused and counted; the sender decides how to proceed.
template <typename Message> class mailbox {
public:
  using handler = std::function<void(Message &&)>;

  /// \pre Consumer outlives the mailbox.
  mailbox(boost::asio::io_context &Consumer, std::size_t Capacity)
      : Consumer(Consumer), Ring(Capacity) {}

  /// Sets the handler of messages. Call before the first send().
  void onMessage(handler NewHandler) { Handler = std::move(NewHandler); }

  /// Returns false if the queue is full. Only one thread may call it.
  bool send(Message Item) {
    if (!Ring.push(std::move(Item))) {
      ++Refused;
      return false;
    }
    if (!WakePending.exchange(true))
      boost::asio::post(Consumer, [this] { drain(); });
    return true;
  }

  std::uint64_t refused() const { return Refused.load(); }

private:
  void drain() {
    WakePending = false;
    Ring.consume_all([this](Message &Item) { Handler(std::move(Item)); });
  }

  boost::asio::io_context &Consumer;
  boost::lockfree::spsc_queue<Message> Ring;
  handler Handler;
  std::atomic<bool> WakePending{false};
  std::atomic<std::uint64_t> Refused{0};
};

} // namespace chivebeam
