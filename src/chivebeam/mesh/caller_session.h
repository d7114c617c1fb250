#pragma once

#include "data/disconnect_watcher.h"
#include "limits/answer_pace.h"
#include "mesh/answer_queue.h"
#include "mesh/body_budget.h"
#include "mesh/entry_router.h"
#include "mesh/request_reader.h"

namespace chivebeam {

/// State that the sessions of one listener share.
struct session_context {
  entry_router &Router;
  const call_protocol &Protocol;
  mesh_state &State;
  mesh_metrics &Metrics;
  body_budget &Bodies; ///< of requests
  const door_limits &Limits;
  bool Draining = false; ///< answers carry Connection: close
};

/// Serves the connection of one caller: reads each request completely, runs it
/// and writes the answers in the order of the requests. Requests that are sent
/// ahead run at once where answer_queue allows it. Runs on one io_context; not
/// thread safe.
class caller_session {
public:
  /// \pre Shared outlives the session.
  caller_session(session_context &Shared, tcp::socket Socket);

  /// Serves requests; completes when the connection is closed and its calls
  /// have ended.
  awaitable<void> run();
  /// Closes the connection if it is waiting for a request and no byte of it has
  /// arrived.
  void closeIfIdle();
  /// Returns the progress of the answer that is being written, or of the only
  /// request if it is arriving; empty if calls run.
  std::optional<transfer_progress> transfer(instant Now);
  /// Refuses the request that is arriving, or gives up the answer that is being
  /// written, to free the connection. \pre transfer returned a value.
  void endTransfer();
  /// Applies the idle timeout of a new configuration to a connection that is
  /// waiting for a request. A wait is extended but never shortened, because the
  /// caller may not know of the change yet.
  void extendIdleTime();
  /// True while a request is read, runs or is answered.
  bool isBusy() const { return !Awaiting || !Answers.isEmpty(); }

private:
  using request_parser = request_reader::parser;

  /// Reads a request and starts its call; returns whether to read another.
  awaitable<bool> serveRequest();
  /// Waits for the first bytes of a request; returns false if none arrive
  /// within the idle timeout.
  awaitable<bool> awaitRequest();
  awaitable<bool> readHeader(request_parser &Parser);
  awaitable<bool> readBody(request_parser &Parser, instant ArrivedAt,
                           body_reservation &Reserved);
  /// Waits until the queue of answers may take a request of this kind; returns
  /// false if no further request may start.
  awaitable<bool> awaitTurn(bool Idempotent);
  /// Waits for a change of the answers or calls; detects that the caller is
  /// gone meanwhile.
  awaitable<void> awaitChange();
  /// True if the answer to another request can be delivered.
  bool mayServe() const;
  void startCall(request_parser &Parser, instant ArrivedAt, bool Idempotent,
                 body_reservation Reserved);
  awaitable<void> runCall(http::request<http::string_body> Request,
                          instant ArrivedAt,
                          std::shared_ptr<pending_answer> Answer,
                          body_reservation Reserved);
  awaitable<bool> refuse(own_answer Answer, const request_id &Id, bool Keep);
  /// Writes the answers that are ready, up to the first that is not.
  awaitable<void> writeAnswers();
  awaitable<bool> write(const pending_answer &Answer, bool Keep);
  void answerWritten(bool Keep);
  /// Returns how many bytes of answers the caller's machine has taken.
  std::uint64_t takenBytes();
  /// Ends the connection and all its calls: the caller is gone.
  void leave();
  own_answer answerTo(const error_code &Code) const;
  /// Returns the limits of the configuration that is in force.
  caller_limits limits() const;

  session_context &Shared;
  beast::tcp_stream Stream;
  request_reader Reader;
  disconnect_watcher Watch; ///< while no request is read
  answer_queue Answers;
  asio::steady_timer Changed; ///< cancelled at a change of Answers or OpenCalls
  answer_pace Pace;           ///< while answers are written
  std::uint64_t SentBytes = 0; ///< of answers, to the kernel
  unsigned OpenCalls = 0;
  bool Awaiting = false; ///< the first bytes of a request are awaited
  bool Writing = false;
  bool Closing = false; ///< the last answer was written
  bool Gone = false;    ///< no answer can be delivered any more
  bool CloseRequested = false;
  bool Ended = false;                   ///< the request that arrives is refused
  std::optional<instant> ArrivingSince; ///< while a request is read
  std::uint64_t BytesBefore = 0;        ///< received before that request
  instant IdleUntil; ///< end of the wait for a request, while not busy
  instant IdleSince;
};

} // namespace chivebeam
