#include "config/route_comparison.h"

#include <algorithm>
#include <map>

#include "config/change_text.h"

namespace chivebeam {

namespace {

using route_index = std::map<route_name, const route_rule *>;

route_index indexByName(const snapshot &Config) {
  route_index Index;
  for (const route_rule &Route : Config.routes())
    Index.emplace(Route.Name, &Route);
  return Index;
}

std::string callsText(const route_rule &Route) {
  std::string Text = Route.Host.empty() ? "any host, " : Route.Host;
  Text += Route.PathPrefix;
  for (const std::string &Method : Route.Methods)
    Text += " " + Method;
  return Text;
}

std::string targetText(const route_rule &Route) {
  if (Route.Split.empty())
    return quoted(Route.Service.str());
  std::string Text;
  for (const weighted_service &Part : Route.Split)
    Text += (Text.empty() ? "" : ", ") + quoted(Part.Service.str()) +
            " weight " + std::to_string(Part.Weight);
  return Text;
}

/// Returns the share of calls that each service gets, whatever the order and
/// scale of the weights. Empty if all weights are 0.
std::map<service_name, double> sharesOf(const route_rule &Route) {
  if (Route.Split.empty())
    return {{Route.Service, 1}};
  double Total = 0;
  for (const weighted_service &Part : Route.Split)
    Total += Part.Weight;
  std::map<service_name, double> Shares;
  for (const weighted_service &Part : Route.Split)
    if (Part.Weight > 0)
      Shares[Part.Service] += Part.Weight;
  for (auto &[Service, Share] : Shares)
    Share /= Total;
  return Shares;
}

/// Says what Config does with the calls that Route names.
std::string destinationText(const snapshot &Config, const route_rule &Route) {
  const route_rule *Found =
      Config.match(Route.Host, Route.PathPrefix,
                   Route.Methods.empty() ? "" : Route.Methods.front());
  if (!Found)
    return "404";
  return "route " + quoted(Found->Name.str()) + ", service " +
         targetText(*Found);
}

/// Compares one route that stands in both configurations.
class route_comparer {
public:
  route_comparer(const snapshot &InForce, const snapshot &New,
                 const route_rule &Before, const route_rule &After,
                 config_change_list &Changes)
      : InForce(InForce), New(New), Before(Before), After(After),
        Changes(Changes) {}

  void compare() {
    compareCalls();
    compareTargets();
    compareTimeouts();
    compareAttempts();
    compareOrder();
    compareKeys();
  }

private:
  void compareCalls();
  void compareTargets();
  void compareTimeouts();
  void compareAttempts();
  void compareOrder();
  void compareKeys();

  std::string timeoutEffect() const;

  void add(std::string What, std::string Effect) {
    Changes.push_back({change_kind::changed,
                       "route " + quoted(After.Name.str()), std::move(What),
                       std::move(Effect)});
  }

  const snapshot &InForce;
  const snapshot &New;
  const route_rule &Before;
  const route_rule &After;
  config_change_list &Changes;
};

void route_comparer::compareCalls() {
  if (callsText(Before) == callsText(After))
    return;
  add(changeText("calls of", callsText(Before), callsText(After)),
      "calls of " + callsText(Before) +
          " now: " + destinationText(New, Before) + "; calls of " +
          callsText(After) + " before: " + destinationText(InForce, After));
}

void route_comparer::compareTargets() {
  if (sharesOf(Before) != sharesOf(After))
    add(changeText("service", targetText(Before), targetText(After)),
        "calls go to " + targetText(After) + " instead of " +
            targetText(Before));
}

std::string route_comparer::timeoutEffect() const {
  std::string Time = secondsText(After.Deadline);
  if (After.Deadline.count() == 0)
    return "nodes use their default timeout";
  if (Before.Deadline.count() == 0)
    return "nodes use it instead of their default; calls over " + Time +
           " end with 504";
  return After.Deadline < Before.Deadline
             ? "calls over " + Time + " end with 504"
             : "calls may last up to " + Time;
}

void route_comparer::compareTimeouts() {
  if (Before.Deadline != After.Deadline)
    add(changeText("timeout", secondsText(Before.Deadline),
                   secondsText(After.Deadline)),
        timeoutEffect());
  if (Before.Goal != After.Goal)
    add(changeText("latency goal", secondsText(Before.Goal),
                   secondsText(After.Goal)),
        After.Goal.count() == 0
            ? "nodes aim at the timeout only"
            : "nodes aim at answers within " + secondsText(After.Goal));
}

void route_comparer::compareAttempts() {
  if (Before.Idempotent != After.Idempotent)
    add(After.Idempotent ? "may be repeated" : "may not be repeated any more",
        After.Idempotent ? "a call may run more than once"
                         : "a call runs at most once; it fails if its backend "
                           "server is lost");
  if (Before.MaxWorkers != After.MaxWorkers)
    add(changeText("attempts", std::to_string(Before.MaxWorkers),
                   std::to_string(After.MaxWorkers)),
        "a call is sent to at most " +
            std::to_string(std::max(After.MaxWorkers, 1U)) +
            " backend servers");
}

void route_comparer::compareOrder() {
  if (Before.Urgency != After.Urgency)
    add(changeText("priority", std::to_string(Before.Urgency),
                   std::to_string(After.Urgency)),
        After.Urgency < Before.Urgency
            ? "under overload, calls are served before more others"
            : "under overload, calls wait behind more others");
}

void route_comparer::compareKeys() {
  if (Before.AllowsAnonymous == After.AllowsAnonymous)
    return;
  std::string Effect = After.AllowsAnonymous
                           ? "calls without a key are served"
                           : "calls without a key of a workspace get 401";
  if (!New.hasWorkspaces())
    Effect = "none, since there are no workspaces";
  add(After.AllowsAnonymous ? "allows anonymous calls"
                            : "allows no anonymous calls any more",
      std::move(Effect));
}

} // namespace

void compareRoutes(const snapshot &InForce, const snapshot &New,
                   config_change_list &Changes) {
  route_index Before = indexByName(InForce);
  route_index After = indexByName(New);
  for (const auto &[Name, Route] : Before)
    if (!After.contains(Name))
      Changes.push_back({change_kind::removed, "route " + quoted(Name.str()),
                         "",
                         "calls of " + callsText(*Route) +
                             " now: " + destinationText(New, *Route)});
  for (const auto &[Name, Route] : After) {
    auto Found = Before.find(Name);
    if (Found != Before.end())
      route_comparer(InForce, New, *Found->second, *Route, Changes).compare();
    else
      Changes.push_back({change_kind::added, "route " + quoted(Name.str()), "",
                         "calls of " + callsText(*Route) +
                             " now: " + destinationText(New, *Route) +
                             "; before: " + destinationText(InForce, *Route)});
  }
}

} // namespace chivebeam
