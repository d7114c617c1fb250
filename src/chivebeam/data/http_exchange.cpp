#include "data/http_exchange.h"

#include <array>

#include "data/call_headers.h"

namespace chivebeam {

namespace {

constexpr std::size_t PieceBytes = request_body::MaxBufferedBytes;
constexpr unsigned FirstFinalStatus = 200;

using piece = std::array<char, PieceBytes>;

/// Writes one piece. need_buffer is not an error: it asks for the next piece.
template <typename Serializer>
awaitable<bool> writePiece(beast::tcp_stream &Output, Serializer &Sink) {
  error_code Code;
  co_await http::async_write(Output, Sink, orError(Code));
  co_return !Code || Code == http::error::need_buffer;
}

} // namespace

std::string_view toString(exchange_end End) {
  switch (End) {
  case exchange_end::passed_on:
    return "passed_on";
  case exchange_end::declined:
    return "declined";
  case exchange_end::not_admitted:
    return "not_admitted";
  case exchange_end::request_failed:
    return "request_failed";
  case exchange_end::no_answer:
    return "no_answer";
  case exchange_end::answer_cut:
    return "answer_cut";
  case exchange_end::bad_request:
    return "bad_request";
  case exchange_end::caller_gone:
    return "caller_gone";
  }
  return "no_answer";
}

http_exchange::http_exchange(beast::tcp_stream &DownstreamSide,
                             request_parser &RequestParser,
                             request_body &RequestBody,
                             call_cancellation &CallCancellation)
    : Downstream(DownstreamSide), Request(RequestParser), Body(RequestBody),
      Cancellation(CallCancellation) {}

exchange_end http_exchange::endUnlessCallerGone(exchange_end Default) const {
  return Cancellation.cancelReason() == cancel_reason::caller_gone
             ? exchange_end::caller_gone
             : Default;
}

awaitable<exchange_result> http_exchange::run(beast::tcp_stream &Upstream,
                                              const hooks &Hooks) {
  Cancellation.onCancel([&] { Upstream.close(); });
  Cancellation.watchCaller();
  if (!Body.isStreamed())
    RequestSent = co_await sendBufferedBody(Upstream);
  else if (Hooks.ExpectContinue)
    RequestSent = co_await sendAfterContinue(Upstream);
  else
    RequestSent = co_await sendStreamedBody(Upstream);
  Cancellation.onCancel([&] { Upstream.close(); });
  if (NotAdmitted) {
    Result.End = endUnlessCallerGone(exchange_end::not_admitted);
  } else if (!BodyFailed) {
    Result.End = endUnlessCallerGone(
        RequestSent ? exchange_end::no_answer : exchange_end::request_failed);
    // A server may answer early and stop reading, so its answer is read even if
    // the request was not sent completely.
    if (Cancellation.active() && (Answer || co_await readAnswer(Upstream)))
      co_await finishAnswer(Upstream, Hooks);
  }
  Cancellation.onCancel(nullptr);
  Cancellation.stopWatching();
  co_return Result;
}

awaitable<bool> http_exchange::sendBufferedBody(beast::tcp_stream &Upstream) {
  http::request_serializer<http::buffer_body, http::fields> Sink(Request.get());
  http::buffer_body::value_type &Piece = Request.get().body();
  Piece.size = Body.buffered().size();
  Piece.data =
      Piece.size == 0 ? nullptr : const_cast<char *>(Body.buffered().data());
  Piece.more = false;
  co_return co_await writePiece(Upstream, Sink);
}

awaitable<bool> http_exchange::sendAfterContinue(beast::tcp_stream &Upstream) {
  Request.get().set(http::field::expect, "100-continue");
  http::request_serializer<http::buffer_body, http::fields> Sink(Request.get());
  error_code Code;
  co_await http::async_write_header(Upstream, Sink, orError(Code));
  for (;;) {
    // Without 100 Continue no body is sent, so the other side can't have run
    // the call.
    NotAdmitted = Code || !co_await readAnswer(Upstream);
    if (NotAdmitted)
      co_return false;
    if (Answer->get().result() == http::status::continue_)
      break;
    if (Answer->get().result_int() >= FirstFinalStatus)
      co_return true;
  }
  Answer.reset();
  if (co_await Body.sendContinue()) {
    BodyFailed = true;
    Result.End = exchange_end::caller_gone;
    co_return false;
  }
  co_return co_await forwardBody(Upstream, Sink);
}

awaitable<bool> http_exchange::sendStreamedBody(beast::tcp_stream &Upstream) {
  if (co_await Body.sendContinue()) {
    BodyFailed = true;
    Result.End = exchange_end::caller_gone;
    co_return false;
  }
  http::request_serializer<http::buffer_body, http::fields> Sink(Request.get());
  co_return co_await forwardBody(Upstream, Sink);
}

void http_exchange::recordBodyError(error_code Code) {
  BodyFailed = true;
  bool Malformed =
      Code.category() ==
          http::make_error_code(http::error::partial_message).category() &&
      Code != http::error::partial_message &&
      Code != http::error::end_of_stream;
  Result.BodyError = Code;
  Result.End =
      Malformed ? exchange_end::bad_request : exchange_end::caller_gone;
}

awaitable<bool> http_exchange::forwardBody(
    beast::tcp_stream &Upstream,
    http::request_serializer<http::buffer_body, http::fields> &Sink) {
  auto Piece = std::make_unique<piece>();
  http::buffer_body::value_type &Out = Request.get().body();
  do {
    std::size_t Size = 0;
    error_code Code =
        co_await Body.readPiece(Piece->data(), Size, Cancellation);
    if (Code && Cancellation.active())
      recordBodyError(Code);
    if (Code)
      co_return false;
    Cancellation.onCancel([&] { Upstream.close(); });
    Out.data = Size == 0 ? nullptr : Piece->data();
    Out.size = Size;
    Out.more = !Body.isComplete();
    if (!co_await writePiece(Upstream, Sink))
      co_return false;
  } while (!Sink.is_done());
  Cancellation.watchCaller();
  co_return true;
}

awaitable<bool> http_exchange::readAnswer(beast::tcp_stream &Upstream) {
  error_code Code;
  do {
    Answer = std::make_unique<answer_parser>();
    Answer->body_limit(boost::none);
    Answer->skip(Request.get().method() == http::verb::head);
    Code = co_await readAnswerHead(Upstream, AnswerBuffer, *Answer);
    if (!Cancellation.active())
      Code = asio::error::operation_aborted;
    if (Code) {
      Answer.reset();
      Result.End = endUnlessCallerGone(Result.End);
      co_return false;
    }
  } while (Answer->get().result_int() < FirstFinalStatus &&
           Answer->get().result() != http::status::continue_);
  co_return true;
}

bool http_exchange::answerMatchesRequest() const {
  beast::string_view ExpectedId = Request.get()[toBeast(RequestIdField)];
  beast::string_view AnswerId = Answer->get()[toBeast(RequestIdField)];
  return AnswerId.empty() || AnswerId == ExpectedId;
}

bool http_exchange::hasNoBody() const {
  http::status Status = Answer->get().result();
  return Request.get().method() == http::verb::head ||
         Status == http::status::no_content ||
         Status == http::status::not_modified;
}

void http_exchange::setAnswerFraming(const hooks &Hooks) {
  auto &Message = Answer->get();
  bool KeepAlive = Hooks.KeepAlive();
  if (Hooks.DownstreamVersion < 11) {
    // The end of the connection marks the end of the answer.
    if (Message.chunked() || Answer->need_eof())
      KeepAlive = false;
    Message.chunked(false);
  } else if (!hasNoBody() && Answer->need_eof()) {
    // Chunked encoding lets the receiver detect a truncated answer.
    Message.chunked(true);
  }
  if (!Body.isComplete())
    KeepAlive = false; // unread bytes of the body may follow
  Message.version(Hooks.DownstreamVersion);
  Message.keep_alive(KeepAlive);
  Result.DownstreamReusable = KeepAlive;
}

awaitable<void> http_exchange::finishAnswer(beast::tcp_stream &Upstream,
                                            const hooks &Hooks) {
  while (Answer->get().result_int() < FirstFinalStatus)
    if (!co_await readAnswer(Upstream))
      co_return;
  if (!answerMatchesRequest())
    co_return;
  // The write may have got the only report of a reset, so that the end of this
  // answer could not be told from a cut.
  if (Answer->need_eof() && !RequestSent)
    co_return;
  Result.Status = Answer->get().result_int();
  // If the body was not sent completely, the connection is in a known state
  // only if the server answered Expect: 100-continue before any of the body was
  // sent.
  bool Reusable =
      Answer->keep_alive() &&
      (Body.isComplete() || (Hooks.ExpectContinue && Body.isUnread()));
  if (!Hooks.Accept(Result.Status, Answer->get())) {
    Result.End = exchange_end::declined;
    co_await drainDeclinedAnswer(Upstream);
    Result.UpstreamReusable =
        Reusable && Answer->is_done() && AnswerBuffer.size() == 0;
    co_return;
  }
  Hooks.Adapt(Answer->get());
  setAnswerFraming(Hooks);
  Result.AnswerStarted = true;
  if (!co_await forwardAnswerBody(Upstream)) {
    Result.DownstreamReusable = false;
    co_return;
  }
  Result.End = exchange_end::passed_on;
  Result.UpstreamReusable = Reusable && AnswerBuffer.size() == 0;
}

awaitable<void>
http_exchange::drainDeclinedAnswer(beast::tcp_stream &Upstream) {
  boost::optional<std::uint64_t> BytesLeft = Answer->content_length_remaining();
  if (!BytesLeft || *BytesLeft > PieceBytes)
    co_return;
  auto Piece = std::make_unique<piece>();
  error_code Code;
  while (!Answer->is_done() && !Code && Cancellation.active()) {
    Answer->get().body().data = Piece->data();
    Answer->get().body().size = Piece->size();
    Code = co_await readSome(Upstream, AnswerBuffer, *Answer);
    if (Code == http::error::need_buffer)
      Code = {};
  }
}

awaitable<bool> http_exchange::forwardAnswerBody(beast::tcp_stream &Upstream) {
  http::response_serializer<http::buffer_body, http::fields> Sink(
      Answer->get());
  Cancellation.onCancel([&] {
    Upstream.close();
    Downstream.close();
  });
  error_code Code;
  if (hasNoBody()) {
    co_await http::async_write_header(Downstream, Sink, orError(Code));
    Result.End = exchange_end::caller_gone;
    co_return !Code;
  }
  auto Piece = std::make_unique<piece>();
  http::buffer_body::value_type &Out = Answer->get().body();
  do {
    std::size_t Size = 0;
    while (Size == 0 && !Answer->is_done()) {
      Out.data = Piece->data();
      Out.size = Piece->size();
      Code = co_await readSome(Upstream, AnswerBuffer, *Answer);
      Result.End = endUnlessCallerGone(exchange_end::answer_cut);
      if ((Code && Code != http::error::need_buffer) || !Cancellation.active())
        co_return false;
      Size = Piece->size() - Out.size;
    }
    Out.data = Size == 0 ? nullptr : Piece->data();
    Out.size = Size;
    Out.more = !Answer->is_done();
    if (!co_await writePiece(Downstream, Sink)) {
      Result.End = exchange_end::caller_gone;
      co_return false;
    }
  } while (!Sink.is_done());
  co_return true;
}

} // namespace chivebeam
