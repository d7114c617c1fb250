#pragma once

#include <functional>

#include "net/asio_types.h"

namespace chivebeam {

/// Accepts connections until the acceptor is closed, and passes each one to
/// Handler. After an error it goes on. \pre Acceptor outlives the loop. Runs on
/// the acceptor's io_context; not thread safe.
awaitable<void> acceptLoop(tcp::acceptor &Acceptor,
                           std::function<void(tcp::socket)> Handler);

} // namespace chivebeam
