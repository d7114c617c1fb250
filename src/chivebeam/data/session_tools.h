#pragma once

#include <string_view>

#include "data/call_headers.h"

namespace chivebeam {

/// Sends an error answer. Returns whether the connection may be reused:
/// KeepAlive is true and the answer was sent.
awaitable<bool> sendProblem(beast::tcp_stream &Stream, const problem &Problem,
                            std::string_view RequestId, bool KeepAlive);

/// Sends an error answer as above, with the number of free slots of the home
/// node's backend server.
awaitable<bool> sendProblem(beast::tcp_stream &Stream, const problem &Problem,
                            std::string_view RequestId, bool KeepAlive,
                            int FreeSlots);

/// Closes a connection so that the last answer still arrives: shuts down the
/// sending side, then reads and discards what the other side sends, within a
/// limit of time and bytes.
awaitable<void> closeGracefully(beast::tcp_stream &Stream);

/// Resets a connection in the middle of an answer, so that the receiver gets an
/// error and does not accept the partial answer as complete.
void resetConnection(beast::tcp_stream &Stream);

} // namespace chivebeam
