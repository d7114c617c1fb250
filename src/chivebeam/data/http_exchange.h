#pragma once

#include <functional>
#include <string_view>

#include "data/request_body.h"
#include "net/http_reads.h"
#include "net/trailerless_parser.h"

namespace chivebeam {

/// How the relay of one call ended.
enum class exchange_end {
  passed_on,      ///< the complete answer was sent downstream
  declined,       ///< the Accept hook rejected the answer
  not_admitted,   ///< refused or failed before any of the body was sent
  request_failed, ///< sending the request failed; no answer came
  no_answer,      ///< the request was sent; no valid answer came in time
  answer_cut,     ///< the answer was truncated after its header was sent
  bad_request,    ///< the caller sent a malformed body
  caller_gone,    ///< the caller closed its connection or stopped reading
};

std::string_view toString(exchange_end End);

struct exchange_result {
  exchange_end End = exchange_end::request_failed;
  unsigned Status = 0; ///< of the answer; zero without a valid answer
  bool UpstreamReusable = false;
  bool DownstreamReusable = false;
  bool AnswerStarted = false; ///< part of an answer may have gone downstream
  error_code BodyError;       ///< why the body could not be read
};

/// Relays one request and its answer between two connections. Bodies are
/// forwarded in pieces of bounded size, so that a large body is never kept in
/// memory as a whole. Each connection carries one call at a time. Not thread
/// safe.
class http_exchange {
public:
  using adapt_answer = std::function<void(http::fields &Fields)>;
  /// Returns whether to forward the answer, from its status and fields.
  using accept_answer =
      std::function<bool(unsigned Status, const http::fields &Fields)>;

  struct hooks {
    adapt_answer Adapt;
    accept_answer Accept;
    /// Returns whether the downstream connection may be reused after this call.
    std::function<bool()> KeepAlive;
    unsigned DownstreamVersion = 11; ///< HTTP version as in Beast
    /// Send Expect: 100-continue with a streamed body and wait until upstream
    /// admits the call before any of the body is sent.
    bool ExpectContinue = false;
  };

  http_exchange(beast::tcp_stream &Downstream, request_parser &Request,
                request_body &Body, call_cancellation &Cancellation);

  /// \pre The request's header was read and adapted, and a body that is not
  /// streamed was read by readBuffered().
  awaitable<exchange_result> run(beast::tcp_stream &Upstream,
                                 const hooks &Hooks);

private:
  using answer_parser = trailerless_response_parser<http::buffer_body>;

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
  beast::flat_buffer AnswerBuffer{MaxUnparsedAnswerBytes};
  std::unique_ptr<answer_parser> Answer;
  bool RequestSent = false; ///< completely
  bool BodyFailed = false;
  bool NotAdmitted = false;
};

} // namespace chivebeam
