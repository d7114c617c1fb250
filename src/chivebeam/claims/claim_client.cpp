#include "claims/claim_client.h"

#include "claims/claim_holder.h"
#include "net/clock.h"

namespace chivebeam {

namespace {

constexpr std::size_t MaxAnswerBytes = 64 << 10;
constexpr std::size_t MaxIdleClients = 64;
constexpr seconds MaxIdleTime{20};
/// Pause before a retry, since the owner may be changing.
constexpr milliseconds RetryPause{50};
/// How long a request without a final answer is retried.
constexpr milliseconds RetryLimit{1'500};
/// Part of a call's remaining time that is reserved for the answer while the
/// request waits for another call with the same key.
constexpr milliseconds AnswerReserve{100};
constexpr milliseconds EndReportTimeout{1'000};
constexpr unsigned EndReportAttempts = 4;

milliseconds timeUntil(instant Time) {
  auto Left = std::chrono::floor<milliseconds>(Time - currentTime());
  return std::max(Left, milliseconds(0));
}

/// Returns the answer for a call that must not run; never granted.
claim_answer refusalOf(const std::optional<claim_answer> &Answer) {
  bool IsRefusal = Answer && Answer->Verdict != claim_verdict::granted;
  return IsRefusal ? *Answer : claim_answer();
}

} // namespace

std::unique_ptr<http_client> claim_client::acquireClient(const address &Owner) {
  std::vector<idle_client> &Clients = Idle[Owner];
  instant Limit = currentTime() - MaxIdleTime;
  while (!Clients.empty()) {
    idle_client Last = std::move(Clients.back());
    Clients.pop_back();
    if (Last.Since >= Limit)
      return std::move(Last.Client);
  }
  return std::make_unique<http_client>(Owner, MaxAnswerBytes);
}

awaitable<result<claim_answer>> claim_client::send(const address &Owner,
                                                   const claim_message &Message,
                                                   milliseconds Timeout) {
  std::unique_ptr<http_client> Client = acquireClient(Owner);
  http_request Request =
      makeRequest(http::verb::post, ClaimTarget, encodeClaimMessage(Message));
  result<http_response> Response =
      co_await Client->call(std::move(Request), Timeout);
  if (!Response)
    co_return tl::unexpected(Response.error());
  if (Response->result() != http::status::ok)
    co_return claim_answer{claim_verdict::not_owner, 0};
  std::vector<idle_client> &Clients = Idle[Owner];
  if (Clients.size() < MaxIdleClients)
    Clients.push_back({std::move(Client), currentTime()});
  co_return decodeAnswer(Response->body());
}

awaitable<claim_answer> claim_client::ask(service_name Service,
                                          claim_request Request,
                                          owner_finder FindOwner) {
  holder_times Times;
  Times.Deadline = Request.RunsUntil;
  Times.RetryUntil = std::min(Times.Deadline, currentTime() + RetryLimit);
  for (;;) {
    std::optional<claim_answer> Answer;
    if (std::optional<claim_owner> Owner = FindOwner())
      Answer = co_await askOnce(*Owner, Service, Request);
    holder_step Step = decideHolderStep(Answer, Times, currentTime());
    if (Step == holder_step::run)
      co_return *Answer;
    if (Step == holder_step::refuse)
      co_return refusalOf(Answer);
    co_await sleepFor(RetryPause);
  }
}

awaitable<std::optional<claim_answer>>
claim_client::askOnce(const claim_owner &Owner, const service_name &Service,
                      const claim_request &Request) {
  milliseconds Left = timeUntil(Request.RunsUntil);
  relative_claim_request Ask{Request, Left,
                             std::max(Left - AnswerReserve, Left / 2)};
  claim_message Message{Fleet, Service, Ask};
  result<claim_answer> Answer = co_await send(Owner.Peer, Message, Left);
  if (!Answer)
    co_return std::nullopt;
  co_return *Answer;
}

awaitable<void> claim_client::end(service_name Service, claim_end End,
                                  owner_finder FindOwner) {
  for (unsigned Attempt = 0; Attempt < EndReportAttempts; ++Attempt) {
    if (Attempt > 0)
      co_await sleepFor(RetryPause * (1 << Attempt));
    std::optional<claim_owner> Owner = FindOwner();
    if (!Owner)
      continue;
    claim_message Message{Fleet, Service, End};
    result<claim_answer> Answer =
        co_await send(Owner->Peer, Message, EndReportTimeout);
    if (Answer && Answer->Verdict == claim_verdict::granted)
      co_return;
  }
}

} // namespace chivebeam
