#include "fuzz/answer_target.h"

#include <cmath>

#include <sys/socket.h>
#include <unistd.h>

#include "fuzz/fuzz_checks.h"
#include "fuzz/piece_reader.h"
#include "limits/answer_head.h"
#include "mesh/worker_connection.h"
#include "net/clock.h"
#include "platform/http_protocol.h"

namespace chivebeam::fuzz {

namespace {

// Small, so that short inputs reach the limit.
constexpr std::uint64_t BudgetBytes = 1'024;
constexpr std::size_t MaxHeaderBytes = 64 << 10; ///< of worker_connection
/// No exchange lasts so long, since the server closes the connection.
constexpr seconds MaxRunTime{5};

/// One call on a connection to a backend server, which sends the bytes of the
/// input and closes.
class answered_call {
public:
  answered_call();
  ~answered_call() { ::close(Server); }
  answered_call(const answered_call &) = delete;
  answered_call &operator=(const answered_call &) = delete;

  std::optional<mesh_answer> run(std::string_view Bytes);
  const mesh_call &call() const { return Call; }

  body_budget Budget{
      std::make_shared<body_account>(0, BudgetBytes, BudgetBytes),
      body_kind::answer};

private:
  asio::io_context Context{1};
  tcp::socket Socket{Context};
  int Server = -1;
  mesh_call Call;
  platform::http_call_protocol Protocol;
};

answered_call::answered_call() {
  std::array<int, 2> Ends{};
  require(::socketpair(AF_UNIX, SOCK_STREAM, 0, Ends.data()) == 0,
          "no sockets are left");
  Server = Ends[1];
  // The protocol is not used: the socket is connected.
  Socket.assign(tcp::v4(), Ends[0]);
  Call.Id = request_id("r");
  Call.Method = "GET";
  Call.Target = "/";
}

std::optional<mesh_answer> answered_call::run(std::string_view Bytes) {
  auto Connection =
      std::make_shared<worker_connection>(std::move(Socket), Budget);
  std::optional<mesh_answer> Answer;
  header_list Fields{{"Host", "h"}};
  cancel_signal Cancel;
  asio::co_spawn(Context,
                 Connection->exchange(Call, Fields, Protocol,
                                      currentTime() + MaxRunTime, Cancel),
                 [&](const std::exception_ptr &Failure, mesh_answer Read) {
                   if (Failure)
                     std::rethrow_exception(Failure);
                   Answer = std::move(Read);
                 });
  Context.poll();
  for (piece_reader Pieces(Bytes); !Pieces.atEnd() && !Answer;) {
    std::string_view Piece = Pieces.next();
    ::send(Server, Piece.data(), Piece.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    Context.poll();
  }
  ::shutdown(Server, SHUT_WR);
  Context.run();
  return Answer;
}

std::size_t headerBytesOf(const mesh_answer &Answer) {
  std::size_t Bytes = 0;
  for (const header_field &Field : Answer.Fields)
    Bytes += Field.Name.size() + Field.Text.size();
  return Bytes;
}

void requireValid(const mesh_answer &Answer, const mesh_call &Call) {
  if (Answer.Status == 0) {
    require(Answer.Outcome == attempt_outcome::lost && !Answer.Reason.empty() &&
                !Answer.Body,
            "a lost answer has contents or no reason");
    return;
  }
  require(headerBytesOf(Answer) <= MaxHeaderBytes,
          "a header is over its limit");
  require(Answer.Status >= 200 && Answer.Status <= 599,
          "an answer has no final status");
  require(platform::http_call_protocol().isAnswerTo(Answer.Fields, Call.Id),
          "an answer to another call was taken");
  require(Answer.Fields.size() <= MaxAnswerFields, "an answer has many fields");
  for (const header_field &Field : Answer.Fields)
    require((Field.Name + Field.Text).find_first_of("\r\n") ==
                std::string::npos,
            "a field has an end of line, which its caller would read");
  const std::optional<call_rate> &Rate = Answer.Notice.RateLimit;
  require(!Rate || (std::isfinite(Rate->PerSecond) && Rate->PerSecond >= 0),
          "a backend server has an absurd rate limit");
}

} // namespace

void runAnswer(std::string_view Bytes) {
  const instant Begin = currentTime();
  answered_call Exchange;
  std::optional<mesh_answer> Answer = Exchange.run(Bytes);
  require(Answer.has_value() && currentTime() < Begin + MaxRunTime,
          "the exchange did not end with the connection");
  requireValid(*Answer, Exchange.call());
  std::uint64_t Size = Answer->Body ? Answer->Body->size() : 0;
  require(Exchange.Budget.reservedBytes() == Size && Size <= BudgetBytes,
          "a body takes other memory than is reserved");
  Answer.reset();
  require(Exchange.Budget.reservedBytes() == 0, "a reservation was kept");
}

} // namespace chivebeam::fuzz
