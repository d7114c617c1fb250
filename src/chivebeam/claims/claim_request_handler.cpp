#include "claims/claim_request_handler.h"

#include <algorithm>

#include "net/http_service.h"

namespace chivebeam {

namespace {

/// Group commits per second of all claim logs of the fleet together.
constexpr int FleetCommitsPerSecond = 36;
/// Added to a request's own waiting time before it is answered without the
/// event loop.
constexpr milliseconds EventLoopGrace{1'000};

} // namespace

claim_request_handler::claim_request_handler(fleet_name FleetName,
                                             node_id SelfNode,
                                             command_sink CommandSink)
    : Fleet(std::move(FleetName)), Self(std::move(SelfNode)),
      Sink(std::move(CommandSink)) {}

void claim_request_handler::ownersChanged(
    const std::map<service_name, claim_owner> &NewOwners,
    std::size_t LogCount) {
  for (const auto &[Service, Owner] : NewOwners) {
    auto Before = Owners.find(Service);
    bool Owned = Before != Owners.end() && Before->second.Node == Self;
    if (Owner.Node == Self && !Owned)
      Ownerships[Service] = ++LastOwnership;
  }
  Owners = NewOwners;
  CommitInterval = microseconds(seconds(1)) *
                   static_cast<int>(std::max<std::size_t>(LogCount, 1)) /
                   FleetCommitsPerSecond;
}

awaitable<http_response>
claim_request_handler::answer(const http_request &Request) {
  result<claim_message> Message = decodeClaimMessage(Request.body());
  if (!Message || Message->Fleet != Fleet)
    co_return makeResponse(http::status::bad_request, "{}");
  claim_answer Answer = co_await forwardToEventLoop(std::move(*Message));
  co_return makeResponse(http::status::ok, encodeAnswer(Answer));
}

awaitable<claim_answer>
claim_request_handler::forwardToEventLoop(claim_message Message) {
  auto Owner = Owners.find(Message.Service);
  if (Owner == Owners.end() || Owner->second.Node != Self)
    co_return claim_answer{claim_verdict::not_owner, 0};
  const auto *Ask = std::get_if<relative_claim_request>(&Message.Content);
  milliseconds Limit = EventLoopGrace + (Ask ? Ask->WaitFor : milliseconds(0));
  bool WantsAnswer = Ask != nullptr;
  claim_command Command;
  Command.Ownership = Ownerships[Message.Service];
  Command.CommitInterval = CommitInterval;
  Command.Message = std::move(Message);
  if (WantsAnswer)
    Command.Ticket = LastTicket = LastTicket.next();
  claim_ticket Ticket = Command.Ticket;
  asio::steady_timer Timer(co_await asio::this_coro::executor, Limit);
  pending_reply PendingReply{&Timer, {claim_verdict::unavailable, 0}};
  if (!Sink(std::move(Command)))
    co_return claim_answer{claim_verdict::over_limit, 0};
  if (!WantsAnswer)
    co_return claim_answer{claim_verdict::granted, 0};
  PendingReplies[Ticket] = &PendingReply;
  error_code Ignored;
  co_await Timer.async_wait(orError(Ignored));
  PendingReplies.erase(Ticket);
  co_return PendingReply.Answer;
}

void claim_request_handler::handleReply(const claim_reply &Reply) {
  auto Found = PendingReplies.find(Reply.Ticket);
  if (Found == PendingReplies.end())
    return;
  Found->second->Answer = Reply.Answer;
  Found->second->Timer->cancel();
}

} // namespace chivebeam
