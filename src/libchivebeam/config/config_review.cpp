#include "config/config_review.h"

#include <algorithm>
#include <set>

#include "config/change_text.h"
#include "config/publish_check.h"

namespace chivebeam {

namespace {

bool containsAny(const std::string &Text, std::string_view Bytes) {
  return Text.find_first_of(Bytes) != std::string::npos;
}

/// Collects the findings of one configuration.
class config_reviewer {
public:
  explicit config_reviewer(const snapshot &Config) : Config(Config) {}

  finding_list review();

private:
  void reviewHost(const route_rule &Route);
  void reviewPrefix(const route_rule &Route);
  void reviewSplit(const route_rule &Route);
  void reviewTimes(const route_rule &Route);
  void reviewServices();
  void reviewKeys();
  void reviewCap(const workspace &Workspace);
  void reviewSizeLimits();
  void reviewTimeLimits();

  void add(finding_severity Severity, std::string Path, std::string Message,
           std::string Remedy) {
    Findings.push_back({Severity,
                        {error_kind::invalid_input, std::move(Path),
                         std::move(Message), std::move(Remedy)}});
  }
  void refuse(std::string Path, std::string Message, std::string Remedy) {
    add(finding_severity::error, std::move(Path), std::move(Message),
        std::move(Remedy));
  }
  void warn(std::string Path, std::string Message, std::string Remedy) {
    add(finding_severity::warning, std::move(Path), std::move(Message),
        std::move(Remedy));
  }

  const snapshot &Config;
  finding_list Findings;
};

std::string pathOf(const route_rule &Route) {
  return "route " + quoted(Route.Name.str());
}

/// Nodes compare the Host header without its port, byte by byte.
void config_reviewer::reviewHost(const route_rule &Route) {
  const std::string &Host = Route.Host;
  if (Host.empty())
    warn(pathOf(Route), "has an empty host, which takes calls of every host",
         "write the host, unless calls of all hosts are meant");
  else if (containsAny(Host, ":"))
    refuse(pathOf(Route),
           "no call matches host " + quoted(Host) +
               ": hosts are compared without their port",
           "write the host without scheme and port");
  else if (containsAny(Host, "*/ \t"))
    refuse(pathOf(Route),
           "no call matches host " + quoted(Host) +
               ": hosts are compared as they are written",
           "write one whole host name; add a route for each host");
  else if (std::any_of(Host.begin(), Host.end(),
                       [](char Byte) { return Byte >= 'A' && Byte <= 'Z'; }))
    warn(pathOf(Route),
         "host " + quoted(Host) +
             " has capitals, and most callers send hosts in small letters",
         "write the host as callers send it");
}

void config_reviewer::reviewPrefix(const route_rule &Route) {
  const std::string &Prefix = Route.PathPrefix;
  if (Prefix.empty())
    warn(pathOf(Route), "has an empty prefix, which takes every path",
         "write \"/\" if all calls are meant");
  else if (Prefix.front() != '/')
    refuse(pathOf(Route),
           "no path begins with prefix " + quoted(Prefix) +
               ": paths begin with \"/\"",
           "write \"/\" before it");
  else if (containsAny(Prefix, "?# \t"))
    refuse(pathOf(Route),
           "no path begins with prefix " + quoted(Prefix) +
               ": paths are compared without query and as callers encode them",
           "write the path alone, with %20 for a space");
  else if (Prefix.back() != '/')
    warn(pathOf(Route),
         "prefix " + quoted(Prefix) + " takes paths such as " +
             quoted(Prefix + "x") + ", too",
         "end the prefix with \"/\"");
}

void config_reviewer::reviewSplit(const route_rule &Route) {
  std::set<service_name> Seen;
  for (const weighted_service &Part : Route.Split)
    if (!Seen.insert(Part.Service).second)
      warn(pathOf(Route),
           "lists service " + quoted(Part.Service.str()) +
               " twice; its weights are added up",
           "list it once, with the weight that is meant");
  auto HasWeight = [](const weighted_service &Part) { return Part.Weight > 0; };
  if (Route.Split.empty() ||
      std::all_of(Route.Split.begin(), Route.Split.end(), HasWeight))
    return;
  if (std::none_of(Route.Split.begin(), Route.Split.end(), HasWeight)) {
    refuse(pathOf(Route), "all weights are 0, so no share is set",
           "give at least one service a weight above 0");
    return;
  }
  for (const weighted_service &Part : Route.Split)
    if (Part.Weight == 0)
      warn(pathOf(Route),
           "service " + quoted(Part.Service.str()) +
               " has weight 0 and gets no calls",
           "give it a weight, or leave it out");
}

void config_reviewer::reviewTimes(const route_rule &Route) {
  std::string Timeout = secondsText(Route.Deadline);
  if (Route.Deadline.count() == 0)
    warn(pathOf(Route),
         "its timeout is under 1 ms; nodes use their default instead",
         "set the longest time that a call may take");
  else if (Route.Goal > Route.Deadline)
    warn(pathOf(Route),
         "its latency goal of " + secondsText(Route.Goal) +
             " is over its timeout of " + Timeout + ", which ends calls before",
         "lower the goal or raise the timeout");
  if (Route.MaxWorkers == 0)
    warn(pathOf(Route),
         "0 attempts are set; nodes send each call to 1 backend server",
         "set 1, or more if a refused call may go to another server");
}

void config_reviewer::reviewServices() {
  for (const auto &[Name, Service] : Config.services())
    if (!hasRouteTo(Config, Name))
      warn("service " + quoted(Name.str()), "no route leads to this service",
           "add a route if callers need it, or remove the service");
}

void config_reviewer::reviewKeys() {
  if (!Config.hasWorkspaces())
    return;
  bool HasKeys = false;
  for (const auto &[Name, Workspace] : Config.workspaces()) {
    HasKeys = HasKeys || !Workspace.Keys.empty();
    if (Workspace.Keys.empty())
      warn("workspace " + quoted(Name.str()),
           "has no keys, so no call belongs to it",
           "add a key, or remove the workspace");
    reviewCap(Workspace);
  }
  auto Closed = std::find_if(
      Config.routes().begin(), Config.routes().end(),
      [](const route_rule &Rule) { return !Rule.AllowsAnonymous; });
  if (!HasKeys && Closed != Config.routes().end())
    refuse("workspaces",
           "no workspace has a key, so callers get 401 on route " +
               quoted(Closed->Name.str()) + " and all others that need a key",
           "add keys, or allow anonymous calls on these routes");
}

void config_reviewer::reviewCap(const workspace &Workspace) {
  const usage_cap &Cap = Workspace.Cap;
  if (Cap.isLimited() && Cap.Burst < 1)
    warn("workspace " + quoted(Workspace.Name.str()),
         "has a rate and a burst under 1 call, so calls that come together "
         "may get 429 though the rate is kept",
         "set a burst of the calls that may come together");
}

void config_reviewer::reviewSizeLimits() {
  const caller_limits &Limits = Config.callerLimits();
  if (Limits.MaxHeaderBytes == 0)
    refuse("limits", "the limit for header bytes is 0, so no call is taken",
           "set the bytes of the largest header that callers send");
  if (Limits.MaxBodyBytes == 0)
    warn("limits",
         "the limit for body bytes is 0, so each call with a body gets 413",
         "set the bytes of the largest body that callers send");
}

void config_reviewer::reviewTimeLimits() {
  const caller_limits &Limits = Config.callerLimits();
  if (Limits.HeaderTimeout.count() == 0)
    warn("limits",
         "the time for a header is under 1 ms, so callers may get 408",
         "set the time that the slowest caller needs for a header");
  if (Limits.IdleTimeout.count() == 0)
    warn("limits",
         "the idle time is under 1 ms, so a connection carries one call only",
         "set the time that a connection may wait for its next call");
}

finding_list config_reviewer::review() {
  for (const route_rule &Route : Config.routes()) {
    reviewHost(Route);
    reviewPrefix(Route);
    reviewSplit(Route);
    reviewTimes(Route);
  }
  reviewServices();
  reviewKeys();
  reviewSizeLimits();
  reviewTimeLimits();
  return std::move(Findings);
}

} // namespace

finding_list reviewConfig(const snapshot &Config) {
  return config_reviewer(Config).review();
}

finding_list reviewUpdate(const snapshot &InForce, const snapshot &New) {
  if (New.number() > InForce.number())
    return {};
  std::string Highest = std::to_string(InForce.number().value());
  return {{finding_severity::error,
           {error_kind::conflict, "version",
            std::to_string(New.number().value()) + " is not above " + Highest +
                ", which is in force; nodes would go on with that",
            "set a version above " + Highest}}};
}

} // namespace chivebeam
