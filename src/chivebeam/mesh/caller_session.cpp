#include "mesh/caller_session.h"

#include <algorithm>

#include <sys/ioctl.h>
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
/// A wait without an end is renewed after this time.
constexpr seconds MaxWait{60};
/// Memory that a header field takes beside its text while its call runs.
constexpr std::uint64_t FieldBytes = 128;
constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;

std::uint64_t memoryOf(const http::fields &Fields) {
  return FieldBytes * static_cast<std::uint64_t>(
                          std::distance(Fields.begin(), Fields.end()));
}

} // namespace

caller_session::caller_session(session_context &SessionContext,
                               tcp::socket Socket)
    : Shared(SessionContext), Stream(std::move(Socket)),
      Reader(Stream.socket()), Watch(Stream.socket()),
      Changed(Stream.get_executor()) {}

awaitable<void> caller_session::run() {
  for (bool Open = true; Open;)
    Open = co_await serveRequest();
  while (OpenCalls > 0)
    co_await awaitChange();
  if (Stream.socket().is_open())
    co_await closeGracefully(Stream);
}

void caller_session::closeIfIdle() {
  // A request may have arrived since the last event was handled.
  char Byte = 0;
  if (isBusy() || ::recv(Stream.socket().native_handle(), &Byte, 1,
                         MSG_PEEK | MSG_DONTWAIT) > 0)
    return;
  CloseRequested = true;
  Reader.interrupt();
}

std::optional<transfer_progress> caller_session::transfer(instant Now) {
  if (Writing && !Gone)
    return Pace.observe(Now, takenBytes(), Shared.Limits);
  if (!ArrivingSince || !Answers.isEmpty())
    return std::nullopt;
  return transfer_progress{Reader.receivedBytes() - BytesBefore,
                           Now - *ArrivingSince};
}

void caller_session::endTransfer() {
  if (Writing)
    return leave();
  Ended = true;
  Reader.interrupt();
}

std::uint64_t caller_session::takenBytes() {
  int Waiting = 0;
  ::ioctl(Stream.socket().native_handle(), TIOCOUTQ, &Waiting);
  return SentBytes -
         std::min(SentBytes, static_cast<std::uint64_t>(std::max(Waiting, 0)));
}

void caller_session::extendIdleTime() {
  if (!isBusy() && IdleSince + limits().IdleTimeout > IdleUntil)
    Reader.interrupt();
}

void caller_session::leave() {
  if (std::exchange(Gone, true))
    return;
  Answers.cancelCalls();
  Stream.close();
  Reader.interrupt();
  Changed.cancel();
}

bool caller_session::mayServe() const {
  // While draining, the last answer closes the connection, so that nothing may
  // start behind it.
  return !Gone && !Closing && (!Shared.Draining || Answers.isEmpty());
}

awaitable<void> caller_session::awaitChange() {
  if (!Gone)
    Watch.start([this] { leave(); });
  Changed.expires_after(MaxWait);
  error_code Ignored;
  co_await Changed.async_wait(orError(Ignored));
  Watch.stop();
}

awaitable<bool> caller_session::awaitTurn(bool Idempotent) {
  while (mayServe() && !(Answers.hasRoom() && Answers.mayStart(Idempotent)))
    co_await awaitChange();
  co_return mayServe();
}

caller_limits caller_session::limits() const {
  return Shared.State.view() ? Shared.State.view()->Config->callerLimits()
                             : caller_limits();
}

own_answer caller_session::answerTo(const error_code &Code) const {
  if (Code == beast::error::timeout || Ended)
    return own_answer::too_slow;
  if (Code == asio::error::no_memory)
    return own_answer::not_run;
  if (Code == http::error::header_limit)
    return own_answer::header_too_large;
  if (Code == http::error::body_limit)
    return own_answer::body_too_large;
  return own_answer::bad_request;
}

awaitable<bool> caller_session::awaitRequest() {
  error_code Code;
  CloseRequested = false;
  Awaiting = true;
  IdleSince = currentTime();
  IdleUntil = IdleSince;
  do {
    IdleUntil = std::max(IdleUntil, IdleSince + limits().IdleTimeout);
    instant End = isBusy() ? instant::max() : IdleUntil;
    Code = co_await Reader.awaitBytes(End);
  } while (Code == asio::error::operation_aborted && !CloseRequested &&
           mayServe());
  Awaiting = false;
  if (Code && Code != asio::error::operation_aborted && !Answers.isEmpty())
    leave();
  co_return !Code;
}

awaitable<bool> caller_session::readHeader(request_parser &Parser) {
  if (!Reader.hasBytes() && !co_await awaitRequest())
    co_return false;
  // The configuration may have changed during the wait.
  const caller_limits Limits = limits();
  Parser.limitTo(Limits.MaxHeaderBytes, Limits.MaxBodyBytes);
  ArrivingSince = currentTime();
  error_code Code =
      co_await Reader.readHeader(Parser, *ArrivingSince + Limits.HeaderTimeout);
  ArrivingSince.reset();
  if (!Code)
    co_return true;
  bool NoRequest =
      Code == http::error::end_of_stream ||
      Code == http::error::partial_message ||
      (Code.category() !=
           http::make_error_code(http::error::end_of_stream).category() &&
       Code != beast::error::timeout);
  if (!NoRequest || Ended)
    co_await refuse(answerTo(Code), request_id(), false);
  else if (!Answers.isEmpty() && Code != asio::error::operation_aborted)
    leave();
  co_return false;
}

awaitable<bool> caller_session::readBody(request_parser &Parser,
                                         instant ArrivedAt,
                                         body_reservation &Reserved) {
  error_code Code;
  if (expectsContinue(Parser.get().base()))
    co_await asio::async_write(Stream.socket(), asio::buffer(ContinueLine),
                               orError(Code));
  ArrivingSince = ArrivedAt;
  if (!Code)
    Code = co_await Reader.readBody(Parser, BodyProgressTimeout, Reserved);
  ArrivingSince.reset();
  if (Code == asio::error::no_memory)
    Shared.Metrics.count("bodies_refused");
  if (!Code)
    co_return true;
  const auto &Header = Parser.get().base();
  log_event("request_incomplete")
      .add("request", Shared.Protocol.readMetadata(Header).Id)
      .add("after_us", (currentTime() - ArrivedAt).count())
      .add("error", Code.message());
  if (Code == http::error::body_limit || Code == beast::error::timeout ||
      Code == asio::error::no_memory || Ended)
    co_await refuse(answerTo(Code), Shared.Protocol.readMetadata(Header).Id,
                    false);
  else if (!Answers.isEmpty() && Code != asio::error::operation_aborted)
    leave();
  co_return false;
}

awaitable<bool> caller_session::serveRequest() {
  request_parser Parser;
  BytesBefore = Reader.receivedBytes();
  if (!co_await awaitTurn(true) || !co_await readHeader(Parser))
    co_return false;
  instant ArrivedAt = Reader.lastReadAt();
  const auto &Header = Parser.get();
  const caller_metadata Metadata = Shared.Protocol.readMetadata(Header.base());
  const request_id &Id = Metadata.Id;
  bool Keep = Header.keep_alive() && Parser.is_done();
  if (checkRequest(Header.base()))
    co_return co_await refuse(own_answer::bad_request, Id, false);
  auto Host = Header[http::field::host];
  route_check Route = Shared.Router.checkRoute(
      std::string(Host), std::string(Header.target()),
      std::string(Header.method_string()), Metadata.Key);
  if (Route.Problem)
    co_return co_await refuse(*Route.Problem, Id, Keep);
  // An interim answer must not get between the answers to other requests.
  bool MayRunAhead = Route.Idempotent && !expectsContinue(Header.base());
  if (!co_await awaitTurn(MayRunAhead))
    co_return false;
  std::uint64_t ContentLength = Parser.content_length().value_or(0);
  std::optional<body_reservation> Reserved =
      Shared.Bodies.reserve(ContentLength + memoryOf(Header.base()));
  if (!Reserved) {
    Shared.Metrics.count("bodies_refused");
    co_return co_await refuse(own_answer::not_run, Id, false);
  }
  if (!co_await readBody(Parser, ArrivedAt, *Reserved) || !mayServe())
    co_return false;
  Keep = Header.keep_alive();
  startCall(Parser, ArrivedAt, Route.Idempotent, std::move(*Reserved));
  co_return Keep;
}

void caller_session::startCall(request_parser &Parser, instant ArrivedAt,
                               bool Idempotent, body_reservation Reserved) {
  if (!Answers.isEmpty())
    Shared.Metrics.count("calls_started_ahead");
  auto Answer = std::make_shared<pending_answer>();
  Answer->Idempotent = Idempotent;
  Answers.add(Answer);
  ++OpenCalls;
  asio::co_spawn(
      Stream.get_executor(),
      runCall(Parser.release(), ArrivedAt, Answer, std::move(Reserved)),
      [this](const std::exception_ptr &Failure) {
        if (Failure)
          leave();
        --OpenCalls;
        Changed.cancel();
      });
}

awaitable<void> caller_session::runCall(
    http::request<http::string_body> Request, instant ArrivedAt,
    std::shared_ptr<pending_answer> Answer, body_reservation Reserved) {
  caller_metadata Metadata = Shared.Protocol.readMetadata(Request.base());
  entry_request Entry;
  Entry.Id = Metadata.Id;
  Entry.CallerTimeout = Metadata.CallerTimeout;
  Entry.Key = std::move(Metadata.Key);
  Entry.Method = std::string(Request.method_string());
  Entry.Target = std::string(Request.target());
  Entry.Host = std::string(Request[http::field::host]);
  Entry.Fields = endToEndFields(Request.base());
  Entry.ArrivedAt = ArrivedAt;
  Answer->Keep = Request.keep_alive();
  Answer->HeadOnly = Request.method() == http::verb::head;
  Entry.Body = makeReservedBody(std::move(Request.body()), std::move(Reserved));
  entry_result Result =
      co_await Shared.Router.run(std::move(Entry), Answer->Cancel);
  if (Result.Kind == entry_result::kind::caller_gone) {
    leave();
    co_return;
  }
  if (Result.Kind == entry_result::kind::served) {
    Answer->Status = Result.Answer.Status;
    Answer->Fields = std::move(Result.Answer.Fields);
    Answer->Body = std::move(Result.Answer.Body);
  } else {
    Answer->Status = Shared.Protocol.statusOf(Result.Own);
    Answer->Fields =
        Shared.Protocol.fieldsOf(Result.Own, Metadata.Id, Result.RetryAfter);
  }
  Answer->Ready = true;
  co_await writeAnswers();
}

awaitable<bool> caller_session::refuse(own_answer Answer, const request_id &Id,
                                       bool Keep) {
  constexpr milliseconds ShortWait{100};
  if (!mayServe())
    co_return false;
  Shared.Metrics.count("own_answers", toString(Answer));
  log_event("refused")
      .add("request", Id)
      .add("answer", toString(Answer))
      .add("config", Shared.State.configNumber());
  auto Refusal = std::make_shared<pending_answer>();
  Refusal->Idempotent = true;
  Refusal->Keep = Keep;
  Refusal->Status = Shared.Protocol.statusOf(Answer);
  Refusal->Fields = Shared.Protocol.fieldsOf(Answer, Id, ShortWait);
  Refusal->Ready = true;
  Answers.add(Refusal);
  co_await writeAnswers();
  co_return Keep &&mayServe();
}

awaitable<void> caller_session::writeAnswers() {
  if (std::exchange(Writing, true))
    co_return;
  while (!Gone && !Closing) {
    std::shared_ptr<pending_answer> Answer = Answers.nextToWrite();
    if (!Answer)
      break;
    bool Keep = Answer->Keep && !(Shared.Draining && Answers.isLast());
    bool Written = co_await write(*Answer, Keep);
    Answers.removeFirst();
    if (Written)
      answerWritten(Keep);
    else
      leave();
  }
  Writing = false;
  Pace.reset();
}

void caller_session::answerWritten(bool Keep) {
  Closing = !Keep;
  bool IsIdle = Awaiting && Answers.isEmpty();
  if (IsIdle)
    IdleSince = currentTime();
  if (IsIdle || Closing)
    Reader.interrupt();
  Changed.cancel();
}

awaitable<bool> caller_session::write(const pending_answer &Answer, bool Keep) {
  std::string Head = "HTTP/1.1 " + std::to_string(Answer.Status) + " ";
  Head +=
      std::string(http::obsolete_reason(http::int_to_status(Answer.Status)));
  Head += "\r\n";
  for (const header_field &Field : Answer.Fields)
    Head.append(Field.Name).append(": ").append(Field.Text).append("\r\n");
  const shared_body &Body = Answer.Body;
  bool HasBody = Answer.Status != NoContent && Answer.Status != NotModified &&
                 !Answer.HeadOnly;
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
  auto CountSent = [&, Before = SentBytes](const error_code &Failed,
                                           std::size_t Sent) {
    SentBytes = Before + Sent;
    return asio::transfer_all()(Failed, Sent);
  };
  co_await asio::async_write(Stream, Parts, CountSent, orError(Code));
  Stream.expires_never();
  co_return !Code;
}

} // namespace chivebeam
