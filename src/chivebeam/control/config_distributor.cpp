#include "control/config_distributor.h"

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace json = boost::json;

namespace {

constexpr milliseconds FetchTimeout{1'000};
constexpr std::size_t MaxSourceBytes = 4 << 20;
/// Limits how many configuration sources a node sends to its peers.
constexpr double MaxAnswersPerSecond = 40;
constexpr double MaxAnswerBurst = 16;
constexpr std::string_view ConflictRemedy =
    "two contents carry this number; publish again: the next number replaces "
    "both";

beast::string_view fieldName(std::string_view Name) {
  return {Name.data(), Name.size()};
}

} // namespace

http_request makePeerRequest(std::string_view Target, const fleet_name &Fleet) {
  http_request Request = makeRequest(http::verb::get, Target, "");
  Request.set(fieldName(FleetField), Fleet.str());
  return Request;
}

config_distributor::config_distributor(asio::io_context &IoContext,
                                       config_holder &Holder,
                                       fleet_name FleetName, node_id NodeId,
                                       std::uint64_t Seed,
                                       applied_handler OnApplied)
    : Context(IoContext), Config(Holder), Fleet(std::move(FleetName)),
      Node(std::move(NodeId)), Fetch(Seed),
      AnswerBudget(MaxAnswersPerSecond, MaxAnswerBurst),
      Applied(std::move(OnApplied)) {}

void config_distributor::headSeen(const config_head &Head, const address &From,
                                  instant Now) {
  Barrier.peerSeen(From, Head.Number, Now);
  if (Head.Number > Config.number())
    Fetch.headSeen(Head, From, Now);
  else if (Config.current() && Head.Number == Config.number() &&
           Head.Digest != Config.head().Digest)
    logConflict(Head, From.text());
}

void config_distributor::logConflict(const config_head &Other,
                                     std::string_view SeenAt) {
  if (ConflictingHead == Other)
    return;
  ConflictingHead = Other;
  log_event("config_conflicting")
      .add("number", Other.Number)
      .add("digest", Config.head().Digest)
      .add("other_digest", Other.Digest)
      .add("seen_at", SeenAt)
      .add("remedy", ConflictRemedy);
}

void config_distributor::checkStoreNumber(config_number Newest) {
  if (Newest >= Config.number()) {
    OlderStoreNumber.reset();
    return;
  }
  if (OlderStoreNumber == Newest)
    return;
  OlderStoreNumber = Newest;
  log_event("store_fell_back")
      .add("store_number", Newest)
      .add("fleet_number", Config.number())
      .add("remedy",
           "the store was restored from an old backup; a watcher node "
           "writes the fleet's configuration back to it; check "
           "chivebeam history before you publish");
}

void config_distributor::storeAnswered(config_number Newest, instant Now) {
  Barrier.storeAnswered(Newest, Now);
  checkStoreNumber(Newest);
}

config_outcome
config_distributor::offer(const config_source &Source,
                          std::optional<config_digest> ExpectedDigest,
                          instant) {
  config_outcome Outcome = Config.offer(Source, ExpectedDigest);
  logOutcome(Outcome, Source);
  if (Outcome == config_outcome::applied) {
    ConflictingHead.reset();
    Applied(Source);
  }
  return Outcome;
}

void config_distributor::logOutcome(config_outcome Outcome,
                                    const config_source &Source) {
  if (Outcome == config_outcome::known || Outcome == config_outcome::mismatched)
    return;
  if (Outcome == config_outcome::conflicting) {
    checked<snapshot_ptr> Other = compile(Source);
    logConflict({Source.Number, Other ? (*Other)->digest() : config_digest()},
                "publication " + Source.Id.str());
    return;
  }
  log_event Line("config_" + std::string(toString(Outcome)));
  Line.add("number", Source.Number);
  if (Outcome == config_outcome::applied) {
    Line.add("digest", Config.current()->digest());
    return;
  }
  Line.add("kept", Config.number())
      .add("mistakes", Config.refusal().size())
      .add("error", Config.refusal().front().text());
}

void config_distributor::tick(instant Now) {
  std::optional<fetch_target> Target =
      Fetch.next(Config.number(), Config.refusedNumber(), Now);
  if (Target)
    asio::co_spawn(Context, fetch(std::move(*Target)), asio::detached);
}

awaitable<void> config_distributor::fetch(fetch_target Target) {
  result<http_response> Response =
      co_await httpCall(Target.Holder, makePeerRequest("/peer/source", Fleet),
                        FetchTimeout, MaxSourceBytes);
  instant Now = currentTime();
  fetch_outcome Outcome = handleSourceResponse(Target, Response, Now);
  Fetch.finished(Target, Outcome, Now);
  if (Outcome == fetch_outcome::taken || Outcome == fetch_outcome::busy)
    co_return;
  log_event("source_not_fetched")
      .add("from", Target.Holder.text())
      .add("number", Target.Head.Number)
      .add("outcome", toString(Outcome));
}

fetch_outcome
config_distributor::handleSourceResponse(const fetch_target &Target,
                                         const result<http_response> &Response,
                                         instant Now) {
  if (!Response)
    return fetch_outcome::failed;
  if (Response->result() == http::status::service_unavailable)
    return fetch_outcome::busy;
  if (Response->result() != http::status::ok)
    return fetch_outcome::failed;
  checked<config_source> Source = readSource(Response->body());
  return Source ? applyFetchedSource(Target, *Source, Now)
                : fetch_outcome::failed;
}

fetch_outcome config_distributor::applyFetchedSource(
    const fetch_target &Target, const config_source &Source, instant Now) {
  std::optional<config_digest> ExpectedDigest;
  if (Source.Number == Target.Head.Number)
    ExpectedDigest = Target.Head.Digest;
  config_outcome Outcome = offer(Source, ExpectedDigest, Now);
  if (Outcome != config_outcome::mismatched)
    return Outcome == config_outcome::applied ? fetch_outcome::taken
                                              : fetch_outcome::not_used;
  if (!Fetch.confirmMismatch(Source, Target.Holder))
    return fetch_outcome::mismatched;
  log_event("digest_differs")
      .add("number", Source.Number)
      .add("remedy",
           "two nodes sent the same source, which compiles to another "
           "digest here; the fleet runs different program versions: "
           "upgrade all nodes to one version");
  offer(Source, std::nullopt, Now);
  return fetch_outcome::taken;
}

bool config_distributor::canServe(instant Now) {
  std::optional<config_number> Floor =
      Barrier.floor(Config.refusedNumber(), Now);
  if (!Floor)
    return false;
  Config.setFloor(*Floor);
  return Config.ready();
}

std::optional<http_response>
config_distributor::answerPeer(const http_request &Request,
                               std::string_view NodeState, instant Now) {
  bool IsSource = Request.target() == "/peer/source";
  if (!IsSource && Request.target() != "/peer/config")
    return std::nullopt;
  if (Request[fieldName(FleetField)] != Fleet.str())
    return makeResponse(http::status::forbidden, "{}");
  if (!IsSource) {
    json::object Report;
    Report["node"] = Node.str();
    Report["state"] = NodeState;
    addStatusTo(Report);
    return makeResponse(http::status::ok, json::serialize(Report));
  }
  if (!Config.current())
    return makeResponse(http::status::not_found, "{}");
  if (!AnswerBudget.take(Now))
    return makeResponse(http::status::service_unavailable, "{}");
  return makeResponse(http::status::ok, writeSource(Config.source()));
}

void config_distributor::addStatusTo(json::object &Out) const {
  Out["config_number"] = Config.number().value();
  if (Config.current()) {
    Out["config_digest"] = Config.current()->digest().value();
    Out["publish_id"] = Config.source().Id.str();
  }
  if (!Config.refusal().empty()) {
    json::array Errors;
    for (const error &Error : Config.refusal())
      Errors.push_back(json::value(Error.text()));
    json::object Refused;
    Refused["number"] = Config.refusedNumber().value();
    Refused["errors"] = std::move(Errors);
    Out["refused"] = std::move(Refused);
  }
  if (ConflictingHead) {
    json::object Other;
    Other["number"] = ConflictingHead->Number.value();
    Other["other_digest"] = ConflictingHead->Digest.value();
    Other["remedy"] = ConflictRemedy;
    Out["conflict"] = std::move(Other);
  }
  if (OlderStoreNumber)
    Out["store_number_behind"] = OlderStoreNumber->value();
}

} // namespace chivebeam
