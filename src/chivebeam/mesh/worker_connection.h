#pragma once

#include "mesh/body_budget.h"
#include "mesh/call_protocol.h"
#include "mesh/cancel_signal.h"
#include "net/trailerless_parser.h"
#include "routing/exchange_outcome.h"

namespace chivebeam {

/// A connection to the backend server beside this node. It carries one call at
/// a time. Runs on one io_context; not thread safe.
class worker_connection
    : public std::enable_shared_from_this<worker_connection> {
public:
  /// \pre Answers outlives the connection.
  worker_connection(tcp::socket Socket, body_budget &Answers);

  /// Sends the request and reads the complete answer. Gives up at Until, or at
  /// once when Cancel is raised. The call may have run unless the outcome says
  /// otherwise. \pre reusable()
  awaitable<mesh_answer> exchange(const mesh_call &Call,
                                  const header_list &Fields,
                                  const call_protocol &Protocol, instant Until,
                                  const cancel_signal &Cancel);
  /// True if no bytes are waiting to be read and the other side has not closed
  /// the connection.
  bool isIdle();
  /// True if the connection may carry another call.
  bool reusable() const { return Reusable; }
  /// True if the backend server refused a call with this id on the connection.
  /// It may send the refusal again, which would pass for the answer to a later
  /// call with the same id.
  bool hasRefused(const request_id &Id) const;
  /// Returns how the last exchange ended.
  exchange_outcome lastEnd() const { return End; }
  void close();

  /// Time when the last answer was complete.
  instant IdleSince;
  /// Time for which the backend server keeps an idle connection open; zero if
  /// it did not announce one.
  milliseconds KeepAlive{0};

private:
  using answer_parser = trailerless_response_parser<http::string_body>;

  /// Reads a complete answer. Fails with no_memory if there is no room for its
  /// body.
  awaitable<error_code> read(answer_parser &Parser, body_reservation &Held);
  awaitable<void> send(shared_body Head, shared_body Body);
  /// Waits for a short time until the request is written; returns whether it
  /// is.
  awaitable<bool> awaitSent();
  awaitable<mesh_answer> readAnswer(const mesh_call &Call,
                                    const call_protocol &Protocol);
  void noteRefusal(const request_id &Id);
  void parseKeepAlive(const http::fields &Fields);
  mesh_answer lostAnswer(const error_code &Code) const;
  /// Sets how the exchange ended, after the answer was read or given up.
  void finishExchange(const mesh_answer &Answer, bool IsCancelled);

  tcp::socket Socket;
  body_budget &Answers;
  beast::flat_buffer Buffer;
  bool Reusable = true;
  std::vector<request_id> Refused; ///< calls that were refused on it
  bool SendDone = true;
  bool SendFailed = false;
  asio::steady_timer SendEnd; ///< cancelled when a write ends
  bool TimedOut = false;
  answer_end AnswerEnd = answer_end::closed;
  exchange_outcome End = exchange_outcome::answered;
};

/// Result of an attempt to connect to a backend server.
struct worker_connect_result {
  std::shared_ptr<worker_connection> Connection; ///< null if it failed
  bool Refused = false; ///< no process accepts connections at the address
};

/// Connects to the backend server. \pre Answers outlives the connection.
awaitable<worker_connect_result> connectToWorker(const address &Worker,
                                                 milliseconds Timeout,
                                                 body_budget &Answers);

} // namespace chivebeam
