#include "config/config_comparison.h"

#include "config/change_text.h"
#include "config/publish_check.h"
#include "config/route_comparison.h"
#include "config/workspace_comparison.h"

namespace chivebeam {

namespace {

std::string coldText(const service_entry &Service) {
  if (Service.ColdCallsPerSecond <= 0)
    return "no limit";
  std::string Text = numberText(Service.ColdCallsPerSecond) + "/s";
  if (Service.ColdStart.count() > 0)
    Text += " for " + secondsText(Service.ColdStart);
  return Text;
}

void compareService(const service_entry &Before, const service_entry &After,
                    config_change_list &Changes) {
  auto Add = [&](std::string What, std::string Effect) {
    Changes.push_back({change_kind::changed,
                       "service " + quoted(After.Service.str()),
                       std::move(What), std::move(Effect)});
  };
  if (Before.MaxConnections != After.MaxConnections)
    Add(changeText("connections", std::to_string(Before.MaxConnections),
                   std::to_string(After.MaxConnections)),
        "none; nodes don't decide by it");
  if (coldText(Before) != coldText(After))
    Add(changeText("calls of a cold backend server", coldText(Before),
                   coldText(After)),
        After.ColdCallsPerSecond > 0
            ? "a backend server that has just started gets no more calls than "
              "that"
            : "a backend server that has just started gets calls like others");
}

void compareServices(const snapshot &InForce, const snapshot &New,
                     config_change_list &Changes) {
  for (const auto &[Name, Before] : InForce.services())
    if (!New.findService(Name))
      Changes.push_back({change_kind::removed, "service " + quoted(Name.str()),
                         "", "no route leads to it; it gets no calls"});
  for (const auto &[Name, After] : New.services()) {
    if (const service_entry *Before = InForce.findService(Name))
      compareService(*Before, After, Changes);
    else
      Changes.push_back({change_kind::added, "service " + quoted(Name.str()),
                         "",
                         hasRouteTo(New, Name)
                             ? "it gets the calls of the routes that lead to it"
                             : "none; no route leads to it"});
  }
}

void compareLimits(const caller_limits &Before, const caller_limits &After,
                   config_change_list &Changes) {
  auto Add = [&](std::string What, std::string Effect) {
    Changes.push_back(
        {change_kind::changed, "limits", std::move(What), std::move(Effect)});
  };
  auto CompareBytes = [&](const std::string &What, std::uint64_t Old,
                          std::uint64_t Next, const std::string &Status) {
    if (Old != Next)
      Add(changeText(What, std::to_string(Old), std::to_string(Next)),
          "calls with more than " + std::to_string(Next) + " bytes get " +
              Status);
  };
  CompareBytes("header bytes", Before.MaxHeaderBytes, After.MaxHeaderBytes,
               "431");
  CompareBytes("body bytes", Before.MaxBodyBytes, After.MaxBodyBytes, "413");
  if (Before.HeaderTimeout != After.HeaderTimeout)
    Add(changeText("time for a header", secondsText(Before.HeaderTimeout),
                   secondsText(After.HeaderTimeout)),
        "a header that takes longer gets 408");
  if (Before.IdleTimeout != After.IdleTimeout)
    Add(changeText("idle time", secondsText(Before.IdleTimeout),
                   secondsText(After.IdleTimeout)),
        "connections are closed after that time without a call");
}

} // namespace

config_change_list compareConfigs(const snapshot &InForce,
                                  const snapshot &New) {
  config_change_list Changes;
  compareRoutes(InForce, New, Changes);
  compareServices(InForce, New, Changes);
  compareWorkspaces(InForce, New, Changes);
  compareLimits(InForce.callerLimits(), New.callerLimits(), Changes);
  return Changes;
}

} // namespace chivebeam
