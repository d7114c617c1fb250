#pragma once

#include <string_view>

#include "data/call_headers.h"

namespace chivebeam {

/// Writes an answer of chivebeam's own. Returns whether the connection may be
/// used again: KeepAlive, and the answer went out.
awaitable<bool> sendProblem(beast::tcp_stream &Stream, const problem &Problem,
                            std::string_view RequestId, bool KeepAlive);

/// As above, with the free slots of the home node's backend server.
awaitable<bool> sendProblem(beast::tcp_stream &Stream, const problem &Problem,
                            std::string_view RequestId, bool KeepAlive,
                            int FreeSlots);

/// Ends a connection so that the last answer arrives: closes the sending side,
/// then takes in what the other side still sends, within bounds.
awaitable<void> closeGracefully(beast::tcp_stream &Stream);

/// Ends a connection in the middle of an answer, so that its receiver sees an
/// error and never takes the part for the whole.
void resetConnection(beast::tcp_stream &Stream);

} // namespace chivebeam
