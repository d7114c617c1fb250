#include "mesh/caller_session.h"

#include <algorithm>

#include <sys/socket.h>

#include "data/request_body.h"
#include "data/request_checks.h"
#include "data/session_tools.h"
#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

constexpr std::string_view ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";
/// A request whose body makes no progress for this time is given up.
constexpr milliseconds BodyProgressTimeout{5'000};
/// A caller that does not receive the whole answer within this time is
/// disconnected.
constexpr seconds AnswerWriteTimeout{15};
constexpr std::size_t ReadBytes = 4 << 10;
constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;

} // namespace

caller_session::caller_session(session_context &SessionContext,
                               tcp::socket Socket)
    : Shared(SessionContext), Stream(std::move(Socket)),
      Watch(Stream.socket()) {}

awaitable<void> caller_session::run() {
  for (bool Open = true; Open;)
    Open = co_await serveRequest();
  if (Stream.socket().is_open())
    co_await closeGracefully(Stream);
}

void caller_session::closeIfIdle() {
  // A request may have arrived since the last event was handled.
  char Byte = 0;
  if (!Idle || ::recv(Stream.socket().native_handle(), &Byte, 1,
                      MSG_PEEK | MSG_DONTWAIT) > 0)
    return;
  CloseRequested = true;
  Stream.cancel();
}

void caller_session::extendIdleTime() {
  if (Idle && IdleSince + limits().IdleTimeout > IdleUntil)
    Stream.cancel();
}

caller_limits caller_session::limits() const {
  return Shared.State.view() ? Shared.State.view()->Config->callerLimits()
                             : caller_limits();
}

own_answer caller_session::answerTo(const error_code &Code) const {
  if (Code == beast::error::timeout)
    return own_answer::too_slow;
  if (Code == http::error::header_limit)
    return own_answer::header_too_large;
  if (Code == http::error::body_limit)
    return own_answer::body_too_large;
  return own_answer::bad_request;
}

awaitable<bool> caller_session::awaitRequest() {
  error_code Code;
  CloseRequested = false;
  Idle = true;
  IdleSince = currentTime();
  IdleUntil = IdleSince;
  do {
    IdleUntil = std::max(IdleUntil, IdleSince + limits().IdleTimeout);
    Stream.expires_after(IdleUntil - currentTime());
    std::size_t Got = co_await Stream.async_read_some(Buffer.prepare(ReadBytes),
                                                      orError(Code));
    Buffer.commit(Got);
  } while (Code == asio::error::operation_aborted && !CloseRequested);
  Idle = false;
  co_return !Code;
}

awaitable<bool> caller_session::readHeader(request_parser &Parser) {
  if (Buffer.size() == 0 && !co_await awaitRequest())
    co_return false;
  // The configuration may have changed during the wait.
  const caller_limits Limits = limits();
  Parser.header_limit(static_cast<std::uint32_t>(Limits.MaxHeaderBytes));
  Parser.body_limit(Limits.MaxBodyBytes);
  error_code Code;
  Stream.expires_after(Limits.HeaderTimeout);
  co_await http::async_read_header(Stream, Buffer, Parser, orError(Code));
  Stream.expires_never();
  if (!Code)
    co_return true;
  bool Gone =
      Code == http::error::end_of_stream ||
      Code == http::error::partial_message ||
      (Code.category() !=
           http::make_error_code(http::error::end_of_stream).category() &&
       Code != beast::error::timeout);
  if (!Gone)
    co_await refuse(answerTo(Code), request_id(), false);
  co_return false;
}

awaitable<bool> caller_session::readBody(request_parser &Parser,
                                         instant ArrivedAt) {
  error_code Code;
  if (expectsContinue(Parser.get().base()))
    co_await asio::async_write(Stream, asio::buffer(ContinueLine),
                               orError(Code));
  while (!Code && !Parser.is_done()) {
    Stream.expires_after(BodyProgressTimeout);
    co_await http::async_read_some(Stream, Buffer, Parser, orError(Code));
  }
  Stream.expires_never();
  if (!Code)
    co_return true;
  log_event("request_incomplete")
      .add("request", Shared.Protocol.readMetadata(Parser.get().base()).Id)
      .add("after_us", (currentTime() - ArrivedAt).count())
      .add("error", Code.message());
  if (Code == http::error::body_limit || Code == beast::error::timeout)
    co_await refuse(answerTo(Code),
                    Shared.Protocol.readMetadata(Parser.get().base()).Id,
                    false);
  co_return false;
}

awaitable<bool> caller_session::serveRequest() {
  request_parser Parser;
  if (!co_await readHeader(Parser))
    co_return false;
  instant ArrivedAt = currentTime();
  const auto &Header = Parser.get();
  request_id Id = Shared.Protocol.readMetadata(Header.base()).Id;
  bool Keep = Header.keep_alive() && Parser.is_done();
  if (checkRequest(Header.base()))
    co_return co_await refuse(own_answer::bad_request, Id, false);
  auto Host = Header[http::field::host];
  std::optional<own_answer> RouteProblem =
      Shared.Router.checkRoute(std::string(Host), std::string(Header.target()),
                               std::string(Header.method_string()));
  if (RouteProblem)
    co_return co_await refuse(*RouteProblem, Id, Keep);
  std::uint64_t ContentLength = Parser.content_length().value_or(0);
  std::optional<body_reservation> Reserved =
      Shared.Bodies.reserve(ContentLength);
  if (!Reserved) {
    Shared.Metrics.count("bodies_refused");
    co_return co_await refuse(own_answer::not_run, Id, false);
  }
  if (!co_await readBody(Parser, ArrivedAt))
    co_return false;
  co_return co_await runCall(Parser.release(), ArrivedAt);
}

awaitable<bool>
caller_session::runCall(http::request<http::string_body> Request,
                        instant ArrivedAt) {
  caller_metadata Metadata = Shared.Protocol.readMetadata(Request.base());
  entry_request Entry;
  Entry.Id = Metadata.Id;
  Entry.CallerTimeout = Metadata.CallerTimeout;
  Entry.Method = std::string(Request.method_string());
  Entry.Target = std::string(Request.target());
  Entry.Host = std::string(Request[http::field::host]);
  Entry.Fields = endToEndFields(Request.base());
  Entry.ArrivedAt = ArrivedAt;
  bool Keep = Request.keep_alive();
  bool HeadOnly = Request.method() == http::verb::head;
  Entry.Body = std::make_shared<const std::string>(std::move(Request.body()));
  cancel_signal Cancel;
  Watch.start([Cancel] { Cancel.raise(); });
  entry_result Result = co_await Shared.Router.run(std::move(Entry), Cancel);
  Watch.stop();
  if (Result.Kind == entry_result::kind::caller_gone) {
    Stream.close();
    co_return false;
  }
  if (Result.Kind == entry_result::kind::served)
    co_return co_await write(Result.Answer.Status, Result.Answer.Fields,
                             Result.Answer.Body, Keep, HeadOnly);
  header_list Fields =
      Shared.Protocol.fieldsOf(Result.Own, Metadata.Id, Result.RetryAfter);
  co_return co_await write(Shared.Protocol.statusOf(Result.Own), Fields,
                           nullptr, Keep, HeadOnly);
}

awaitable<bool> caller_session::refuse(own_answer Answer, const request_id &Id,
                                       bool Keep) {
  constexpr milliseconds ShortWait{100};
  Shared.Metrics.count("own_answers", toString(Answer));
  log_event("refused")
      .add("request", Id)
      .add("answer", toString(Answer))
      .add("config", Shared.State.configNumber());
  header_list Fields = Shared.Protocol.fieldsOf(Answer, Id, ShortWait);
  co_return co_await write(Shared.Protocol.statusOf(Answer), Fields, nullptr,
                           Keep, false);
}

awaitable<bool> caller_session::write(unsigned Status,
                                      const header_list &Fields,
                                      shared_body Body, bool Keep,
                                      bool HeadOnly) {
  Keep = Keep && !Shared.Draining;
  std::string Head = "HTTP/1.1 " + std::to_string(Status) + " ";
  Head += std::string(http::obsolete_reason(http::int_to_status(Status)));
  Head += "\r\n";
  for (const header_field &Field : Fields)
    Head.append(Field.Name).append(": ").append(Field.Text).append("\r\n");
  bool HasBody = Status != NoContent && Status != NotModified && !HeadOnly;
  if (HasBody)
    Head.append("Content-Length: ")
        .append(std::to_string(Body ? Body->size() : 0))
        .append("\r\n");
  if (!Keep)
    Head.append("Connection: close\r\n");
  Head.append("\r\n");
  std::array<asio::const_buffer, 2> Parts{asio::buffer(Head),
                                          asio::const_buffer()};
  if (Body && HasBody)
    Parts[1] = asio::buffer(*Body);
  error_code Code;
  Stream.expires_after(AnswerWriteTimeout);
  co_await asio::async_write(Stream, Parts, orError(Code));
  Stream.expires_never();
  co_return Keep && !Code;
}

} // namespace chivebeam
