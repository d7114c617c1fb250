#include "control/fleet_survey.h"

#include <memory>

#include <boost/json.hpp>

#include "control/config_distributor.h"

namespace chivebeam {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxConcurrentQueries = 16;
constexpr milliseconds QueryTimeout{1'000};
constexpr std::size_t MaxReportBytes = 256 << 10;

/// State shared by the concurrent queries of one survey.
struct survey {
  survey(const asio::any_io_executor &Executor, fleet_name FleetName,
         std::vector<survey_peer> PeerList)
      : Done(Executor, asio::steady_timer::time_point::max()),
        Fleet(std::move(FleetName)), Peers(std::move(PeerList)) {}

  asio::steady_timer Done;
  fleet_name Fleet;
  std::vector<survey_peer> Peers;
  std::size_t Next = 0;
  std::size_t Running = 0;
  json::array Reports;
};

json::value toReport(const survey_peer &Peer,
                     const result<http_response> &Response) {
  if (Response && Response->result() == http::status::ok) {
    boost::system::error_code Code;
    json::value Report = json::parse(Response->body(), Code);
    if (!Code && Report.is_object())
      return Report;
  }
  json::object Missing;
  Missing["node"] = Peer.Node.str();
  Missing["state"] = "no answer";
  return Missing;
}

/// Queries the next peer until none is left. Several instances run at once.
awaitable<void> queryPeers(std::shared_ptr<survey> Survey) {
  while (Survey->Next < Survey->Peers.size()) {
    survey_peer Peer = Survey->Peers[Survey->Next++];
    result<http_response> Response = co_await httpCall(
        Peer.Peer, makePeerRequest("/peer/config", Survey->Fleet), QueryTimeout,
        MaxReportBytes);
    Survey->Reports.push_back(toReport(Peer, Response));
  }
  if (--Survey->Running == 0)
    Survey->Done.cancel();
}

} // namespace

awaitable<std::string> surveyFleet(fleet_name Fleet, std::string OwnReport,
                                   std::vector<survey_peer> Peers) {
  auto Executor = co_await asio::this_coro::executor;
  auto Survey =
      std::make_shared<survey>(Executor, std::move(Fleet), std::move(Peers));
  Survey->Reports.push_back(json::parse(OwnReport));
  Survey->Running = std::min(MaxConcurrentQueries, Survey->Peers.size());
  for (std::size_t Count = Survey->Running; Count > 0; --Count)
    asio::co_spawn(Executor, queryPeers(Survey), asio::detached);
  error_code Ignored;
  if (Survey->Running > 0)
    co_await Survey->Done.async_wait(orError(Ignored));
  json::object Out;
  Out["nodes"] = std::move(Survey->Reports);
  co_return json::serialize(Out);
}

} // namespace chivebeam
