#pragma once

#include "base/token_bucket.h"
#include "mesh/home_runner.h"
#include "mesh/mesh_metrics.h"
#include "mesh/mesh_state.h"
#include "mesh/peer_hub.h"
#include "routing/called_services.h"
#include "routing/expected_latency_picker.h"
#include "routing/version_splitter.h"
#include "routing/weighted_splitter.h"
#include "routing/windowed_retry_budget.h"

namespace chivebeam {

/// A call as it came from its caller.
struct entry_request {
  request_id Id;
  std::string Method;
  std::string Target;
  std::string Host;
  header_list Fields;
  shared_body Body;
  std::optional<milliseconds> Patience; ///< how long the caller waits
  instant ArrivedAt;
};

/// How a call ended at its entry node.
struct entry_result {
  enum class kind { served, own, caller_gone };
  kind Kind = kind::own;
  mesh_answer Answer;                   ///< of a backend server, if served
  own_answer Own = own_answer::not_run; ///< of this node, otherwise
  microseconds Wait{0}; ///< after not_run: until there may be room
};

/// Decides for each call that callers send to this node where it goes: route,
/// service by weight, version, home node, and what follows an attempt that
/// failed. Runs on one io_context; not thread safe.
class entry_router {
public:
  /// \pre everything outlives the router.
  entry_router(asio::io_context &Context, const mesh_settings &Settings,
               const call_dialect &Dialect, mesh_state &State,
               home_runner &Home, peer_hub &Hub, mesh_metrics &Metrics);

  /// Sets how to tell whether this node may lack the newest configuration.
  void askWhetherBehind(std::function<bool()> Ask) { MayBeBehind = Ask; }
  /// Returns why a call can't be taken at all, before its body is read.
  std::optional<own_answer> checkRoute(const std::string &Host,
                                       const std::string &Target,
                                       const std::string &Method) const;
  /// Carries a call to its end.
  awaitable<entry_result> run(entry_request Request, cancel_signal Cancel);

  /// The view has changed.
  void viewChanged();
  /// Refuses calls of outside callers from now on; those under way, and what
  /// the backend server calls meanwhile, go on to their end.
  void close() { Closed = true; }
  std::size_t openCalls() const { return OpenCalls; }
  /// Returns what is known of refusals at the services that the backend server
  /// beside this node has called of late.
  refusal_ratios downstream(instant Now) const;
  /// Returns the most used repeat budget of these services, in permille.
  unsigned repeatsBelow(instant Now);

private:
  /// One call with what was decided about it.
  struct entry_call {
    fleet_view_ptr View;
    microseconds Assumed{0}; ///< how long it runs, until one was seen
    version_name Version;
    bool OnNewVersion = false;
    mesh_call Call;
    attempt_history History;
    std::set<node_id> Tried;
    microseconds Wait{0};
    unsigned Attempts = 0;
    unsigned Asks = 0; ///< of home nodes that could be reached
    instant ArrivedAt;
  };

  void prepare(entry_call &Entry, const route_rule &Route,
               entry_request Request, instant Now);
  /// Returns when the caller sent its first attempt at what it wants.
  instant firstAttempt(const route_rule &Route, const entry_request &Request);
  awaitable<entry_result> attempts(entry_call &Entry, cancel_signal Cancel);
  awaitable<mesh_answer> attempt(entry_call &Entry, endpoint Endpoint,
                                 cancel_signal Cancel);
  /// Returns whether a call may reach one more backend server.
  bool mayRepeat(const entry_call &Entry, attempt_outcome Outcome, instant Now);
  /// Returns whether a call of an outside caller is let in.
  bool admit(const entry_call &Entry, instant Now);
  const endpoint *choose(entry_call &Entry, instant Now);
  bool hasOthers(const entry_call &Entry) const;
  static call_needs needsOf(const entry_call &Entry, instant Now);
  microseconds usualTime(const entry_call &Entry, const endpoint &Endpoint,
                         instant Now) const;
  /// Notes in the call's history what an attempt came to.
  void noteAttempt(entry_call &Entry, const mesh_answer &Answer, instant Now);
  /// Ends a call that no home node is asked about (any more).
  entry_result refuseUnasked(entry_call &Entry, std::string Reason);
  void observe(const entry_call &Entry, const endpoint &Endpoint,
               const mesh_answer &Answer, microseconds Took, instant Now);
  entry_result finish(entry_call &Entry, next_step Step, mesh_answer Answer);
  void log(const entry_call &Entry, const endpoint &Endpoint,
           const mesh_answer &Answer, next_step Step, microseconds Took);
  microseconds spread(microseconds Wait);

  asio::io_context &Context;
  const mesh_settings &Settings;
  const call_dialect &Dialect;
  mesh_state &State;
  home_runner &Home;
  peer_hub &Hub;
  mesh_metrics &Metrics;
  random_source Random;
  weighted_splitter Services;
  version_splitter Versions;
  expected_latency_picker Picker;
  windowed_retry_budget Repeats;
  root_admission Roots;
  called_services Children;
  /// Calls that were refused here without asking a home node, since the last
  /// call of that service and urgency.
  std::map<std::pair<service_name, unsigned>, unsigned> Unasked;
  /// Longest patience that callers of a route have shown: their first attempts.
  std::unordered_map<route_name, milliseconds> FullPatience;
  token_bucket PlainLines; ///< log lines of calls that went as they should
  std::uint64_t OmittedLines = 0;
  std::function<bool()> MayBeBehind = [] { return false; };
  std::size_t OpenCalls = 0;
  bool Closed = false;
};

} // namespace chivebeam
