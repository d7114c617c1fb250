#include "sessions/session_player.h"

#include <limits>

namespace chivebeam {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxSessionMillis = 7LL * 24 * 3'600 * 1'000;
constexpr std::int64_t MaxCount = 1'000'000;
/// Interval at which home nodes send evidence, and moves are decided, during
/// traffic.
constexpr milliseconds TrafficInterval{250};
constexpr std::uint64_t PickerSeed = 1;

/// Calls Visit(Line, Number) for each line; numbers start at 1.
template <typename Visitor>
void forEachLine(std::string_view Text, Visitor Visit) {
  std::size_t Number = 0;
  while (!Text.empty()) {
    std::size_t End = Text.find('\n');
    Visit(Text.substr(0, End), ++Number);
    Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  }
}

bool isComment(std::string_view Line) {
  return Line.empty() || Line.starts_with("//");
}

bool isDecision(const json::value &Line) {
  const json::object *Object = Line.if_object();
  return Object && Object->contains("got");
}

std::string fieldText(const json::value *Value) {
  return Value ? json::serialize(*Value) : "{}";
}

std::string shareText(unsigned Share) {
  std::string WholePercent = std::to_string(Share / 100);
  unsigned Rest = Share % 100;
  return Rest == 0 ? WholePercent + "%"
                   : WholePercent + "." + std::to_string(Rest) + "%";
}

session_behaviour readBehaviour(object_reader &Outer, std::string_view Key,
                                error_list &Errors) {
  session_behaviour Behaviour;
  const json::value *Value = Outer.find(Key);
  if (!Value)
    return Behaviour;
  object_reader Reader(*Value, Outer.pathOf(Key), Errors);
  Behaviour.FailPercent =
      static_cast<unsigned>(Reader.integer("fail_percent", 0, 100, 0));
  Behaviour.Duration = milliseconds(Reader.integer("ms", 0, MaxCount, 1));
  Reader.finish();
  return Behaviour;
}

unsigned countOf(const endpoint_group &Group) {
  return static_cast<unsigned>(Group.Local.size() + Group.Remote.size());
}

} // namespace

bool isSession(std::string_view Text) {
  bool Found = false;
  bool FirstLineChecked = false;
  forEachLine(Text, [&](std::string_view Line, std::size_t) {
    if (FirstLineChecked || isComment(Line))
      return;
    FirstLineChecked = true;
    checked<json::value> Parsed = parseJson(Line);
    const json::object *Object = Parsed ? Parsed->if_object() : nullptr;
    const json::value *Kind = Object ? Object->if_contains("do") : nullptr;
    Found = Kind && Kind->is_string() && Kind->get_string() == "start";
  });
  return Found;
}

session_player::session_player(const move_decider &MoveDecider)
    : Decider(MoveDecider) {}

checked<std::string> session_player::play(std::string_view Text) {
  forEachLine(Text, [&](std::string_view Line, std::size_t Number) {
    if (!Errors.empty())
      return;
    if (isComment(Line)) {
      Output.append(Line).append("\n");
      return;
    }
    checked<json::value> Parsed = parseJson(Line);
    if (Parsed && isDecision(*Parsed))
      return;
    Output.append(Line).append("\n");
    if (Parsed)
      playLine(*Parsed);
    else
      Errors = Parsed.error();
    for (error &Error : Errors)
      Error.Path = "line " + std::to_string(Number) + Error.Path;
  });
  if (!Errors.empty())
    return tl::unexpected(Errors);
  return Output;
}

void session_player::write(const std::string &Decision) {
  json::object Line;
  Line["t"] = std::chrono::duration_cast<milliseconds>(Now - Epoch).count();
  Line["got"] = Decision;
  Output.append(json::serialize(Line)).append("\n");
}

void session_player::playLine(const json::value &Line) {
  object_reader Reader(Line, "", Errors);
  std::string Kind = Reader.text("do");
  std::int64_t Millis = Reader.integer("t", 0, MaxSessionMillis, 0);
  if (Kind == "start") {
    start(Reader);
  } else if (!Picker) {
    Reader.fail("do", "the session has not started",
                "begin with a line whose \"do\" is \"start\"");
  } else {
    Now = std::max(Now, Epoch + milliseconds(Millis));
    dispatch(Kind, Reader);
  }
  Reader.finish();
}

void session_player::dispatch(std::string_view Kind, object_reader &Reader) {
  using handler = void (session_player::*)(object_reader &);
  static const std::map<std::string_view, handler> Handlers = {
      {"store_answered", &session_player::storeAnswered},
      {"peer_head", &session_player::peerHead},
      {"publish", &session_player::publish},
      {"member", &session_player::member},
      {"call", &session_player::call},
      {"call_ended", &session_player::callEnded},
      {"arrive", &session_player::arrive},
      {"release", &session_player::release},
      {"traffic", &session_player::traffic},
      {"take_back", &session_player::takeBack},
      {"verdict_recorded", &session_player::verdictRecorded},
  };
  auto Found = Handlers.find(Kind);
  if (Found == Handlers.end()) {
    Reader.fail("do", "\"" + std::string(Kind) + "\" is not a kind of line",
                "see docs/manual/sessions.md for the kinds of line");
    return;
  }
  (this->*Found->second)(Reader);
  checkReady();
}

void session_player::start(object_reader &Reader) {
  Self = node_id(Reader.text("node"));
  LocalDomain = failure_domain(Reader.text("domain"));
  Epoch = Reader.time("at");
  Now = Epoch;
  Picker = std::make_unique<worker_picker>(LocalDomain, PickerSeed);
  Coordinator = std::make_unique<move_coordinator>(Self, Decider);
}

void session_player::storeAnswered(object_reader &Reader) {
  Barrier.storeAnswered(config_number(static_cast<std::uint64_t>(
                            Reader.integer("number", 0, MaxCount))),
                        Now);
}

void session_player::peerHead(object_reader &Reader) {
  std::string Peer = Reader.text("peer");
  std::optional<address> Address = parseAddress(Peer);
  if (!Address) {
    Reader.fail("peer", "is not an address", "write ip:port");
    return;
  }
  Barrier.peerSeen(*Address,
                   config_number(static_cast<std::uint64_t>(
                       Reader.integer("number", 0, MaxCount))),
                   Now);
}

void session_player::publish(object_reader &Reader) {
  config_source Source;
  Source.Number = config_number(
      static_cast<std::uint64_t>(Reader.integer("number", 1, MaxCount)));
  Source.Id = publish_id(Reader.textOr("id", "operator"));
  Source.PublishedAt = Epoch;
  Source.Register = fieldText(Reader.find("register"));
  Source.Rules = fieldText(Reader.find("rules"));
  config_outcome Outcome = Config.offer(Source);
  std::string Text = "configuration " + std::to_string(Source.Number.value()) +
                     " " + std::string(toString(Outcome));
  if (Outcome == config_outcome::refused)
    Text += ": " + Config.refusal().front().text();
  write(Text + ", in force " + std::to_string(Config.number().value()));
  refreshView();
}

void session_player::checkReady() {
  if (Serving)
    return;
  std::optional<config_number> Floor =
      Barrier.floor(Config.refusedNumber(), Now);
  if (!Floor)
    return;
  Config.setFloor(*Floor);
  if (!Config.ready())
    return;
  Serving = true;
  write("serving with configuration " +
        std::to_string(Config.number().value()));
}

void session_player::member(object_reader &Reader) {
  member_record Record;
  Record.Node = node_id(Reader.text("node"));
  Record.Incarnation = incarnation(
      static_cast<std::uint64_t>(Reader.integer("life", 1, MaxCount, 1)));
  Record.Domain = failure_domain(Reader.text("domain"));
  std::string State = Reader.textOr("state", "alive");
  if (State == "dead")
    Record.State = member_state::dead;
  Record.Leaving = State == "leaving";
  Record.Worker.Service = service_name(Reader.text("service"));
  Record.Worker.Version = version_name(Reader.text("version"));
  Record.Worker.Slots =
      static_cast<unsigned>(Reader.integer("slots", 1, MaxCount));
  Record.Worker.State = worker_state::ready;
  Record.Worker.ReadySince = Now;
  bool Changed = Members.merge(Record, Now);
  write(Record.Node.str() + (Changed ? " is " : " stays as it was, not ") +
        State);
  refreshView();
}

void session_player::refreshView() {
  if (Config.current())
    View = makeFleetView(Config.current(), Members.records(), Moves,
                         LocalDomain, false);
}

void session_player::call(object_reader &Reader) {
  std::string Id = Reader.text("id");
  std::string Path = Reader.text("path");
  std::string Method = Reader.textOr("method", "GET");
  if (!Serving || !View) {
    write("call " + Id + " not-run: the node is not serving yet");
    return;
  }
  const route_rule *Route = View->Config->match("", Path, Method);
  if (!Route) {
    write("call " + Id + " not-run: no route matches");
    return;
  }
  const version_name &Version =
      Splitter.choose(Route->Service, View->Splits.at(Route->Service), "");
  auto Service = View->Endpoints.find(Route->Service);
  const endpoint *Chosen = nullptr;
  if (Service != View->Endpoints.end())
    if (auto Group = Service->second.find(Version);
        Group != Service->second.end())
      Chosen = Picker->pick(Route->Service, Group->second, {}, Now);
  if (!Chosen) {
    write("call " + Id + " not-run: no backend server of " +
          Route->Service.str() + " " + Version.str());
    return;
  }
  Picker->callStarted(*Chosen, Now);
  OpenCalls[Id] = *Chosen;
  write("call " + Id + " on route " + Route->Name.str() + " goes to " +
        Chosen->Node.str());
}

void session_player::callEnded(object_reader &Reader) {
  std::string Id = Reader.text("id");
  auto Found = OpenCalls.find(Id);
  if (Found == OpenCalls.end()) {
    Reader.fail("id", "no open call has this id",
                "use the id of a call that was sent and has not ended");
    return;
  }
  call_observation Observed;
  Observed.Verdict = Reader.flagOr("failed", false) ? call_verdict::failed
                                                    : call_verdict::served;
  Observed.Latency = milliseconds(Reader.integer("ms", 0, MaxCount));
  service_name Service(Reader.text("service"));
  Picker->callEnded(Service, Found->second, Observed, Now);
  OpenCalls.erase(Found);
}

void session_player::arrive(object_reader &Reader) {
  admission_request Call;
  Call.Call = call_number(
      static_cast<std::uint64_t>(Reader.integer("call", 1, MaxCount)));
  Call.Class =
      parseWorkClass(Reader.text("class")).value_or(work_class::status);
  Call.Workspace = workspace_name(Reader.textOr("tenant", "none"));
  Call.Deadline =
      Now + milliseconds(Reader.integer("deadline_ms", 1, MaxCount));
  if (const json::value *Slots = Reader.find("slots"); Slots)
    Admission.setSlots(
        static_cast<unsigned>(Reader.integer("slots", 0, MaxCount)), Now);
  admission_update Change;
  admission_decision Answer = Admission.arrive(Call, Now, Change);
  std::string Text = "call " + std::to_string(Call.Call.value());
  Text += Answer == admission_decision::run    ? " runs"
          : Answer == admission_decision::wait ? " waits"
                                               : " is refused, not-run";
  for (call_number Refused : Change.Refused)
    Text += "; call " + std::to_string(Refused.value()) + " gives way, not-run";
  write(Text);
}

void session_player::release(object_reader &Reader) {
  admission_update Change = Admission.release(
      milliseconds(Reader.integer("ms", 0, MaxCount)), false, Now);
  std::string Text = "a slot is free";
  for (call_number Started : Change.Started)
    Text += "; call " + std::to_string(Started.value()) + " runs";
  for (call_number Refused : Change.Refused)
    Text +=
        "; call " + std::to_string(Refused.value()) + " is refused, not-run";
  write(Text);
}

void session_player::traffic(object_reader &Reader) {
  service_name Service(Reader.text("service"));
  route_name Route(Reader.text("route"));
  instant End =
      Now + milliseconds(Reader.integer("for_ms", 1, MaxSessionMillis));
  auto PerSecond =
      static_cast<double>(Reader.integer("per_second", 0, MaxCount));
  session_behaviour Old = readBehaviour(Reader, "old", Errors);
  session_behaviour New = readBehaviour(Reader, "new", Errors);
  if (!View || !View->Endpoints.contains(Service)) {
    Reader.fail("service", "has no backend server in the configuration",
                "publish the service and add its members first");
    return;
  }
  double PerInterval = PerSecond * TrafficInterval / seconds(1);
  for (; Now < End; Now += TrafficInterval) {
    distributeCalls(Service, Route, PerInterval, Old, New);
    tickMoves();
  }
}

/// Divides the calls of one interval among the versions by share, and evenly
/// among the workers of each version.
void session_player::distributeCalls(const service_name &Service,
                                     const route_name &Route, double Calls,
                                     const session_behaviour &Old,
                                     const session_behaviour &New) {
  const version_split &Split = View->Splits.at(Service);
  double NewPart = static_cast<double>(Split.NewShare) / FullShare;
  for (const auto &[Version, Group] : View->Endpoints.at(Service)) {
    bool IsNew = Version == Split.New;
    double Part = IsNew ? NewPart : 1 - NewPart;
    double CallsPerEndpoint = Calls * Part / std::max(1U, countOf(Group));
    for (const std::vector<endpoint> *Endpoints : {&Group.Local, &Group.Remote})
      for (const endpoint &Endpoint : *Endpoints)
        recordCalls(Endpoint.Node, Route, CallsPerEndpoint, IsNew ? New : Old);
  }
}

void session_player::recordCalls(const node_id &Node, const route_name &Route,
                                 double Calls,
                                 const session_behaviour &Behaviour) {
  const member_record *Member = Members.find(Node);
  if (!Member)
    return;
  Counters[Node].add(Route, Calls, Behaviour);
  Coordinator->addEvidence(Counters[Node].report(*Member), Now);
}

void session_player::tickMoves() {
  coordinator_result Result =
      Coordinator->tick(*Config.current(), Members, Moves, Now);
  for (const move_progress &Progress : Result.Changed)
    offerMove(Progress);
  for (const verdict_request &Request : Result.Verdicts) {
    std::string Requested(toString(Request.Progress.Phase));
    if (RequestedVerdicts[Request.Rule.Id] == Requested)
      continue;
    RequestedVerdicts[Request.Rule.Id] = Requested;
    write("the store is asked to record the verdict on " +
          Request.Rule.Id.str());
  }
}

void session_player::offerMove(const move_progress &Progress) {
  if (!View) {
    write("move " + Progress.Id.str() + " is not known yet");
    return;
  }
  auto [Position, Inserted] = Moves.try_emplace(Progress.Id, Progress);
  if (!Inserted) {
    move_progress Joined = join(Position->second, Progress);
    if (Joined == Position->second) {
      write("move " + Progress.Id.str() + " stays as it was");
      return;
    }
    Position->second = Joined;
  }
  const move_progress &Current = Position->second;
  refreshView();
  std::string Text = "move " + Current.Id.str() + " is " +
                     std::string(toString(Current.Phase)) + " at step " +
                     std::to_string(Current.Step);
  for (const auto &[Service, Split] : View->Splits)
    if (const move_rule *Rule = Config.current()->findMoveOf(Service);
        Rule && Rule->Id == Current.Id)
      Text += ", share " + shareText(Split.NewShare);
  if (Current.Recorded != move_verdict::none)
    Text += ", verdict " + std::string(toString(Current.Recorded));
  if (!Current.Reason.empty())
    Text += ": " + Current.Reason;
  write(Text);
}

void session_player::takeBack(object_reader &Reader) {
  move_progress Progress;
  Progress.Id = move_id(Reader.text("move"));
  auto Found = Moves.find(Progress.Id);
  if (Found != Moves.end())
    Progress = Found->second;
  Progress.Phase = move_phase::taken_back;
  Progress.DecidedAt = Now;
  Progress.Reason = Reader.text("reason");
  Progress.Recorded = move_verdict::none;
  offerMove(Progress);
}

void session_player::verdictRecorded(object_reader &Reader) {
  move_progress Progress;
  Progress.Id = move_id(Reader.text("move"));
  auto Found = Moves.find(Progress.Id);
  if (Found != Moves.end())
    Progress = Found->second;
  bool Done = Reader.text("verdict") == toString(move_verdict::done);
  Progress.Recorded = Done ? move_verdict::done : move_verdict::taken_back;
  offerMove(Progress);
}

} // namespace chivebeam
