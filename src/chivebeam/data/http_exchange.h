#pragma once

#include <functional>
#include <string_view>

#include "data/request_body.h"

namespace chivebeam {

/// How far a relayed call came before it ended.
enum class exchange_end {
  passed_on,      ///< the whole answer went downstream
  declined,       ///< an answer came that Accept would not pass on
  not_admitted,   ///< refused or lost before any of the body was sent
  request_failed, ///< the upstream connection broke, no answer came
  no_answer,      ///< the request was sent, but no valid answer came in time
  answer_cut,     ///< the answer broke off after its header was passed on
  bad_request,    ///< the caller sent a malformed body
  caller_gone,    ///< the caller closed its connection or stopped reading
};

std::string_view toString(exchange_end End);

struct exchange_result {
  exchange_end End = exchange_end::request_failed;
  unsigned Status = 0; ///< of the answer; zero if none came
  bool UpstreamReusable = false;
  bool DownstreamReusable = false;
  bool AnswerStarted = false; ///< some byte of an answer went downstream
  error_code BodyError;       ///< why the request is a bad one
};

/// Relays one request and its answer between two connections, a bounded piece
/// at a time in each direction, so that a large body is never held whole. Each
/// connection carries one call at a time. Not thread safe.
class http_exchange {
public:
  using adapt_answer = std::function<void(http::fields &Fields)>;
  /// Decides from status and fields whether to pass the answer on.
  using accept_answer =
      std::function<bool(unsigned Status, const http::fields &Fields)>;

  struct hooks {
    adapt_answer Adapt;
    accept_answer Accept;
    /// Whether the downstream connection may be used again after this call.
    std::function<bool()> KeepAlive;
    unsigned DownstreamVersion = 11; ///< of HTTP, as Beast counts
    /// Ask the other side to admit a streamed body before any of it is sent.
    bool ExpectContinue = false;
  };

  http_exchange(beast::tcp_stream &Downstream, request_parser &Request,
                request_body &Body, call_cancellation &Cancellation);

  /// \pre the request's header was read and adapted by the caller, and a body
  /// that is to be held was read.
  awaitable<exchange_result> run(beast::tcp_stream &Upstream,
                                 const hooks &Hooks);

private:
  using answer_parser = http::response_parser<http::buffer_body>;

  awaitable<bool> sendBufferedBody(beast::tcp_stream &Upstream);
  awaitable<bool> sendAfterContinue(beast::tcp_stream &Upstream);
  awaitable<bool> sendStreamedBody(beast::tcp_stream &Upstream);
  awaitable<bool>
  forwardBody(beast::tcp_stream &Upstream,
              http::request_serializer<http::buffer_body, http::fields> &Sink);
  awaitable<bool> readAnswer(beast::tcp_stream &Upstream);
  awaitable<void> finishAnswer(beast::tcp_stream &Upstream, const hooks &Hooks);
  awaitable<void> drainDeclinedAnswer(beast::tcp_stream &Upstream);
  awaitable<bool> forwardAnswerBody(beast::tcp_stream &Upstream);
  void recordBodyError(error_code Code);
  bool answerMatchesRequest() const;
  bool hasNoBody() const;
  void setAnswerFraming(const hooks &Hooks);
  exchange_end endUnlessCallerGone(exchange_end Default) const;

  beast::tcp_stream &Downstream;
  request_parser &Request;
  request_body &Body;
  call_cancellation &Cancellation;
  exchange_result Result;
  beast::flat_buffer AnswerBuffer;
  std::unique_ptr<answer_parser> Answer;
  bool BodyFailed = false;
  bool NotAdmitted = false;
};

} // namespace chivebeam
