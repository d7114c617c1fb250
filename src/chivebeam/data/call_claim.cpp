#include "data/call_claim.h"

#include "claims/issue_time.h"
#include "net/clock.h"

namespace chivebeam {

namespace {

constexpr std::string_view IdempotencyKeyField = "Idempotency-Key";
constexpr std::size_t MaxKeyBytes = 255;
constexpr seconds RetryAfter{1};
constexpr std::string_view SameKeyRetryRemedy =
    "this request was not run; send it again with the same key after the time "
    "in Retry-After";
constexpr std::string_view UnknownOutcomeRemedy =
    "find out whether it ran before using a new key";

claim_outcome toOutcome(call_result Result) {
  switch (Result) {
  case call_result::not_run:
    return claim_outcome::released;
  case call_result::ran:
    return claim_outcome::ran;
  case call_result::unknown:
    return claim_outcome::unknown;
  }
  return claim_outcome::unknown;
}

problem conflict(call_result Result, std::string Title,
                 std::string_view Remedy) {
  return {http::status::conflict, Result, std::move(Title), std::string(Remedy),
          seconds(0)};
}

problem serviceUnavailable(std::string Title) {
  return {http::status::service_unavailable, call_result::not_run,
          std::move(Title), std::string(SameKeyRetryRemedy), RetryAfter};
}

problem alreadyRunning() {
  problem Problem =
      conflict(call_result::unknown, "a call with this key is running",
               "ask again with the same key after the time in Retry-After");
  Problem.RetryAfter = RetryAfter;
  return Problem;
}

/// Returns the answer to the caller of a call whose claim was not granted.
problem toProblem(const claim_answer &Answer) {
  switch (Answer.Verdict) {
  case claim_verdict::ran:
    return conflict(call_result::ran,
                    "a call with this key ran and was answered with status " +
                        std::to_string(Answer.Status),
                    "do not send it again");
  case claim_verdict::running:
    return alreadyRunning();
  case claim_verdict::unknown:
    return conflict(call_result::unknown, "a call with this key may have run",
                    UnknownOutcomeRemedy);
  case claim_verdict::other_request:
    return {http::status::unprocessable_entity, call_result::not_run,
            "the key was used for another request",
            "use a key of its own for each payment", seconds(0)};
  case claim_verdict::over_limit:
    return serviceUnavailable("too many payments are being claimed");
  case claim_verdict::granted:
  case claim_verdict::unavailable:
  case claim_verdict::not_owner:
    break;
  }
  return serviceUnavailable("payments can't be claimed now");
}

/// Returns why a key can't be claimed, as far as that doesn't depend on the
/// earlier claims; nothing if the key is valid.
std::optional<problem> checkKey(const request_parser &Request,
                                const std::string &Key,
                                const request_body &Body) {
  if (Key.size() > MaxKeyBytes ||
      Request.get().count(toBeast(IdempotencyKeyField)) > 1)
    return problem{http::status::bad_request, call_result::not_run,
                   "the idempotency key is not usable",
                   "send one key of at most 255 bytes", seconds(0)};
  if (Body.isStreamed())
    return problem{http::status::payload_too_large, call_result::not_run,
                   "a payment with a key is too large or has no length",
                   "send at most 16 KiB with Content-Length", seconds(0)};
  if (isTooOld(Key, currentTime(), ClaimRetention))
    return conflict(call_result::unknown,
                    "the key is too old to tell if a call with it ran",
                    UnknownOutcomeRemedy);
  return std::nullopt;
}

} // namespace

awaitable<std::optional<problem>>
call_claim::acquire(const fleet_view &View, const route_rule &Route,
                    const request_parser &Request, const request_body &Body,
                    instant Deadline) {
  std::string Key = fieldOf(Request.get(), IdempotencyKeyField);
  const service_entry *Entry = View.Config->findService(Route.Service);
  if (Key.empty() || Route.Idempotent || !Entry || !supportsClaims(*Entry))
    co_return std::nullopt;
  if (std::optional<problem> Problem = checkKey(Request, Key, Body))
    co_return Problem;
  auto Method = Request.get().method_string();
  auto Target = Request.get().target();
  Service = Route.Service;
  Claim.Id = claim_id(Plane.generateRequestId().str());
  Claim.Key = makeClaimKey(Service, Key);
  Claim.Request =
      digestRequest({Method.data(), Method.size()},
                    {Target.data(), Target.size()}, Body.buffered());
  Claim.RunsUntil = Deadline;
  claim_answer Answer =
      co_await Plane.claims().ask(Service, Claim, ownerFinder());
  Granted = Answer.Verdict == claim_verdict::granted;
  if (Granted)
    co_return std::nullopt;
  reportEnd(claim_outcome::released, 0);
  co_return toProblem(Answer);
}

claim_client::owner_finder call_claim::ownerFinder() const {
  return [Plane = &Plane, Service = Service]() -> std::optional<claim_owner> {
    fleet_view_ptr View = Plane->view();
    auto Found = View->ClaimOwners.find(Service);
    if (Found == View->ClaimOwners.end())
      return std::nullopt;
    return Found->second;
  };
}

void call_claim::finish(call_result Result, unsigned Status) {
  if (Granted)
    reportEnd(toOutcome(Result), Status);
  Granted = false;
}

void call_claim::reportEnd(claim_outcome Outcome, unsigned Status) {
  claim_end End{Claim.Id, Claim.Key, Outcome, Status};
  asio::co_spawn(Plane.context(),
                 Plane.claims().end(Service, End, ownerFinder()),
                 asio::detached);
}

} // namespace chivebeam
