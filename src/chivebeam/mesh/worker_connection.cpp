#include "mesh/worker_connection.h"

#include <algorithm>
#include <charconv>

#include <sys/socket.h>

#include "net/clock.h"
#include "net/http_reads.h"

namespace chivebeam {

namespace {

/// Answers to other calls that are skipped, since a faulty backend server may
/// send some first. After more of them the attempt fails.
constexpr int MaxMismatchedAnswers = 4;
constexpr int MaxInterimAnswers = 16;
/// A connection on which more calls were refused is not used again.
constexpr std::size_t MaxNotedRefusals = 16;
/// A read buffer that has grown beyond this size is freed after the call.
constexpr std::size_t MaxKeptBytes = 16 << 10;
/// Bodies up to this size fit the socket's buffer and are written together with
/// the header.
constexpr std::size_t OneWriteBytes = 16 << 10;
/// Time in which the rest of a request is written after the server has ended
/// its answer.
constexpr milliseconds MaxSendTail{500};
/// Memory that a field of an answer takes beside its text.
constexpr std::size_t FieldBytes = 128;

std::string writeHead(const mesh_call &Call, const header_list &Fields) {
  std::string Head;
  Head.reserve(512);
  Head.append(Call.Method).append(" ").append(Call.Target);
  Head.append(" HTTP/1.1\r\n");
  for (const header_field &Field : Fields)
    Head.append(Field.Name).append(": ").append(Field.Text).append("\r\n");
  std::size_t Size = Call.Body ? Call.Body->size() : 0;
  if (Size > 0 || (Call.Method != "GET" && Call.Method != "HEAD"))
    Head.append("Content-Length: ").append(std::to_string(Size)).append("\r\n");
  return Head.append("\r\n");
}

/// Returns what an error says about the end of an answer. Any error of the
/// connection itself counts as its end.
answer_end endOf(const error_code &Code) {
  bool IsHttpError = Code.category() ==
                     http::make_error_code(http::error::bad_value).category();
  if (Code == asio::error::no_memory || Code.category() == answerHeadCategory())
    return answer_end::invalid;
  bool IsClosed = !IsHttpError || Code == http::error::end_of_stream ||
                  Code == http::error::partial_message;
  return IsClosed ? answer_end::closed : answer_end::invalid;
}

} // namespace

worker_connection::worker_connection(tcp::socket WorkerSocket,
                                     body_budget &AnswerBudget)
    : Socket(std::move(WorkerSocket)), Answers(AnswerBudget),
      Buffer(MaxUnparsedAnswerBytes), SendEnd(Socket.get_executor()) {}

bool worker_connection::isIdle() {
  char Byte = 0;
  ssize_t Got =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void worker_connection::close() {
  Reusable = false;
  error_code Ignored;
  Socket.close(Ignored);
}

awaitable<void> worker_connection::send(shared_body Head, shared_body Body) {
  std::shared_ptr<worker_connection> Self = shared_from_this();
  SendDone = false;
  SendFailed = false;
  std::array<asio::const_buffer, 2> Parts{asio::buffer(*Head),
                                          asio::const_buffer()};
  if (Body)
    Parts[1] = asio::buffer(*Body);
  error_code Code;
  co_await asio::async_write(Socket, Parts, orError(Code));
  SendDone = !Code;
  SendFailed = static_cast<bool>(Code);
  SendEnd.cancel();
}

awaitable<bool> worker_connection::awaitSent() {
  if (!SendDone && !SendFailed) {
    SendEnd.expires_after(MaxSendTail);
    error_code Ignored;
    co_await SendEnd.async_wait(orError(Ignored));
  }
  co_return SendDone;
}

mesh_answer worker_connection::lostAnswer(const error_code &Code) const {
  mesh_answer Answer = emptyAnswer(attempt_outcome::lost, Code.message());
  if (TimedOut)
    Answer.Reason = "no complete answer before the deadline";
  return Answer;
}

bool worker_connection::hasRefused(const request_id &Id) const {
  return std::find(Refused.begin(), Refused.end(), Id) != Refused.end();
}

void worker_connection::noteRefusal(const request_id &Id) {
  Refused.push_back(Id);
  if (Refused.size() > MaxNotedRefusals)
    Reusable = false;
}

void worker_connection::parseKeepAlive(const http::fields &Fields) {
  beast::string_view Text = Fields[http::field::keep_alive];
  constexpr std::string_view Key = "timeout=";
  std::size_t At = Text.find(Key.data(), 0, Key.size());
  if (At == beast::string_view::npos)
    return;
  int Seconds = 0;
  std::from_chars(Text.data() + At + Key.size(), Text.data() + Text.size(),
                  Seconds);
  KeepAlive = seconds(Seconds);
}

awaitable<error_code> worker_connection::read(answer_parser &Parser,
                                              body_reservation &Held) {
  error_code Code = co_await readAnswerHead(Socket, Buffer, Parser);
  const http::fields &Fields = Parser.get();
  const std::size_t HeadBytes =
      fieldBytes(Fields) + FieldBytes * static_cast<std::size_t>(std::distance(
                                            Fields.begin(), Fields.end()));
  body_reservation HeldBeside = *Answers.reserve(0);
  while (!Code && !Parser.is_done()) {
    Code = co_await readSome(Socket, Buffer, Parser);
    if (!Held.growTo(Parser.get().body().size()) ||
        !HeldBeside.growTo(HeadBytes + Buffer.size()))
      co_return error_code(asio::error::no_memory);
  }
  co_return Code;
}

awaitable<mesh_answer>
worker_connection::readAnswer(const mesh_call &Call,
                              const call_protocol &Protocol) {
  int Mismatched = 0;
  int Interim = 0;
  while (Mismatched <= MaxMismatchedAnswers && Interim <= MaxInterimAnswers) {
    answer_parser Parser;
    Parser.body_limit(MaxAnswerBytes);
    Parser.skip(Call.Method == "HEAD");
    body_reservation Held = *Answers.reserve(0);
    error_code Code = co_await read(Parser, Held);
    if (Code) {
      AnswerEnd = endOf(Code);
      co_return lostAnswer(Code);
    }
    http::response<http::string_body> Response = Parser.release();
    const bool IsInterim = Response.result_int() < 200;
    mesh_answer Answer;
    Answer.Status = Response.result_int();
    Answer.Fields = endToEndFields(Response.base());
    if (IsInterim || !Protocol.isAnswerTo(Answer.Fields, Call.Id)) {
      if (Parser.need_eof()) {
        // It lasted until the server closed; a further read would not end.
        AnswerEnd = answer_end::closed;
        co_return lostAnswer(http::error::end_of_stream);
      }
      ++(IsInterim ? Interim : Mismatched);
      // More late answers may follow, so no other call uses this connection.
      Reusable = Reusable && IsInterim;
      continue;
    }
    // The kernel reports a reset once. If the write of the request gets it, the
    // answer seems to end as one without a length does.
    if (Parser.need_eof() && !co_await awaitSent()) {
      AnswerEnd = answer_end::closed;
      co_return lostAnswer(http::error::partial_message);
    }
    parseKeepAlive(Response.base());
    AnswerEnd =
        Parser.need_eof() ? answer_end::until_close : answer_end::complete;
    if (!Response.keep_alive() || Response.need_eof())
      Reusable = false;
    Answer.Body = makeReservedBody(std::move(Response.body()), std::move(Held));
    Answer.Outcome = Protocol.outcomeOf(Answer.Status, Answer.Fields);
    Answer.Notice = Protocol.noticeIn(Answer.Fields);
    if (Answer.Outcome == attempt_outcome::server_refused)
      noteRefusal(Call.Id);
    co_return Answer;
  }
  AnswerEnd = answer_end::invalid;
  co_return emptyAnswer(
      attempt_outcome::lost,
      "the backend server sent only interim answers or answers to other calls");
}

void worker_connection::finishExchange(const mesh_answer &Answer,
                                       bool IsCancelled) {
  End = classifyExchange({AnswerEnd, TimedOut || IsCancelled});
  if (Answer.Status == 0 || !SendDone || Buffer.size() > 0 || TimedOut)
    close();
  if (Buffer.capacity() > MaxKeptBytes)
    Buffer.shrink_to_fit();
  IdleSince = currentTime();
}

awaitable<mesh_answer>
worker_connection::exchange(const mesh_call &Call, const header_list &Fields,
                            const call_protocol &Protocol, instant Until,
                            const cancel_signal &Cancel) {
  std::shared_ptr<worker_connection> Self = shared_from_this();
  auto Executor = co_await asio::this_coro::executor;
  asio::steady_timer Timer(Executor, Until - currentTime());
  Timer.async_wait([Self](error_code Code) {
    if (Code)
      return;
    Self->TimedOut = true;
    Self->close();
  });
  Cancel.onRaise([Self] { Self->close(); });
  auto Head = std::make_shared<const std::string>(writeHead(Call, Fields));
  // A backend server may answer before it has read a long body, so the answer
  // is read while the body is still being sent.
  if (!Call.Body || Call.Body->size() <= OneWriteBytes)
    co_await send(Head, Call.Body);
  else
    asio::co_spawn(Executor, send(Head, Call.Body), asio::detached);
  mesh_answer Answer = co_await readAnswer(Call, Protocol);
  Cancel.onRaise(nullptr);
  Timer.cancel();
  finishExchange(Answer, Cancel.raised());
  co_return Answer;
}

awaitable<worker_connect_result> connectToWorker(const address &Worker,
                                                 milliseconds Timeout,
                                                 body_budget &Answers) {
  auto Executor = co_await asio::this_coro::executor;
  auto Socket = std::make_shared<tcp::socket>(Executor);
  asio::steady_timer Timer(Executor, Timeout);
  Timer.async_wait([Socket](error_code Code) {
    error_code Ignored;
    if (!Code)
      Socket->close(Ignored);
  });
  error_code Code;
  co_await Socket->async_connect(toTcp(Worker), orError(Code));
  if (Timer.cancel() == 0 || Code || !Socket->is_open())
    co_return worker_connect_result{nullptr,
                                    Code == asio::error::connection_refused};
  Socket->set_option(tcp::no_delay(true), Code);
  co_return worker_connect_result{
      std::make_shared<worker_connection>(std::move(*Socket), Answers), false};
}

} // namespace chivebeam
