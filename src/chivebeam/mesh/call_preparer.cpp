#include "mesh/call_preparer.h"

namespace chivebeam {

namespace {

/// Before a run time is measured on a route, the route's goal divided by this
/// is assumed, since operators set goals at a few times the usual run time.
constexpr int AssumedDurationDivisor = 3;
/// Longest run time of a call if neither its caller nor its route sets one.
constexpr milliseconds DefaultCallTimeout{10'000};
/// Bounds the map of timeouts by route, since routes change. The map is cleared
/// when it is full, and the timeouts are learned again.
constexpr std::size_t MaxCallerTimeoutEntries = 4'096;

} // namespace

instant call_preparer::firstAttemptTime(const route_rule &Route,
                                        const entry_request &Request) {
  if (!Request.CallerTimeout)
    return Request.ArrivedAt;
  if (LongestCallerTimeout.size() >= MaxCallerTimeoutEntries &&
      !LongestCallerTimeout.contains(Route.Name))
    LongestCallerTimeout.clear();
  milliseconds &MaxTimeout = LongestCallerTimeout[Route.Name];
  MaxTimeout = std::max(MaxTimeout, *Request.CallerTimeout);
  return Request.ArrivedAt - (MaxTimeout - *Request.CallerTimeout);
}

void call_preparer::prepare(entry_call &Entry, const route_rule &Route,
                            const call_permission &Permission,
                            entry_request Request) {
  Entry.AssumedDuration = Route.Goal / AssumedDurationDivisor;
  Entry.ArrivedAt = Request.ArrivedAt;
  mesh_call &Call = Entry.Call;
  Call.Id = Request.Id;
  Call.Route = Route.Name;
  Call.Service = Services.choose(Route);
  Call.Idempotent = Route.Idempotent;
  Call.Urgency = Route.Urgency;
  if (Permission.Workspace) {
    Call.Workspace = Permission.Workspace->Name;
    Call.WorkspacePriority =
        priorityOfCall(Permission.Workspace->Priority, Call.Id);
  }
  Entry.Key = std::move(Request.Key);
  std::optional<request_id> Parent = Protocol.parentOf(Request.Id);
  Call.Nested = Parent.has_value();
  milliseconds Longest =
      Route.Deadline.count() > 0 ? Route.Deadline : DefaultCallTimeout;
  Call.Deadline = Request.ArrivedAt +
                  std::min(Longest, Request.CallerTimeout.value_or(Longest));
  Call.Goal = Route.Goal.count() > 0
                  ? firstAttemptTime(Route, Request) + Route.Goal
                  : Call.Deadline;
  Call.Fingerprint =
      fingerprintOf(Request.Method, Request.Host, Request.Target,
                    Request.Body ? std::string_view(*Request.Body) : "");
  Call.Method = std::move(Request.Method);
  Call.Target = std::move(Request.Target);
  Call.Fields = std::move(Request.Fields);
  Protocol.setCaller(Call.Fields, Settings.Service, Call.Workspace);
  Call.Body = std::move(Request.Body);
  Entry.History.Idempotent = Route.Idempotent;
  Entry.History.MaxServers = std::max(Route.MaxWorkers, 1U);
  auto Split = Entry.View->Splits.find(Call.Service);
  if (Split != Entry.View->Splits.end()) {
    Entry.Version = Versions.choose(Call.Service, Split->second, "");
    Entry.OnNewVersion =
        !Split->second.New.empty() && Entry.Version == Split->second.New;
  }
}

} // namespace chivebeam
