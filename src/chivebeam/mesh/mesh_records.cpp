#include "mesh/mesh_records.h"

#include "base/object_reader.h"

namespace chivebeam {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxExactInteger = std::int64_t{1} << 53;
constexpr std::int64_t MaxSlots = 1'000'000;
constexpr std::int64_t HighestState =
    static_cast<std::int64_t>(worker_state::leaving);
constexpr std::int64_t HighestPhase =
    static_cast<std::int64_t>(move_phase::taken_back);
constexpr std::int64_t HighestVerdict =
    static_cast<std::int64_t>(move_verdict::taken_back);

std::int64_t microsecondsUntil(instant Time, instant Now) {
  return Time == instant() ? 0 : (Time - Now).count();
}

instant timeAfter(std::int64_t Remaining, instant Now) {
  return Remaining == 0 ? instant() : Now + microseconds(Remaining);
}

/// Omits empty strings, since readers reject them.
void addNonEmpty(json::object &Out, std::string_view Key,
                 const std::string &Text) {
  if (!Text.empty())
    Out[Key] = Text;
}

result<json::value> parse(std::string_view Text) {
  boost::system::error_code Code;
  json::value Value = json::parse({Text.data(), Text.size()}, Code);
  if (Code)
    return tl::unexpected(
        error{error_kind::invalid_input, "", "the record is not valid JSON",
              "remove the key; it was not written by a chivebeam node"});
  return Value;
}

/// Reads the fields of a record; one invalid field makes the whole record
/// invalid.
class record_reader {
public:
  explicit record_reader(const json::value &Value)
      : Reader(Value, "", Errors) {}

  std::string text(std::string_view Key) { return Reader.textOr(Key, ""); }
  std::int64_t number(std::string_view Key,
                      std::int64_t Max = MaxExactInteger) {
    return Reader.integer(Key, -Max, Max, 0);
  }
  std::int64_t count(std::string_view Key, std::int64_t Max = MaxExactInteger) {
    return Reader.integer(Key, 0, Max, 0);
  }
  bool flag(std::string_view Key) { return Reader.flagOr(Key, false); }

  template <typename Value> result<Value> finish(Value Read) {
    if (Errors.empty())
      return Read;
    return tl::unexpected(Errors.front());
  }

private:
  error_list Errors;
  object_reader Reader;
};

} // namespace

std::string mesh_keys::prefix() { return "chivebeam/"; }

std::string mesh_keys::watchers() { return "chivebeam/watcher/"; }

std::string mesh_keys::watcher(const failure_domain &Domain, unsigned Number) {
  return watchers() + Domain.str() + "/" + std::to_string(Number);
}

std::string mesh_keys::worker(const node_id &Node) {
  return "chivebeam-server/" + Node.str();
}

std::string mesh_keys::moves() { return "chivebeam/move/"; }

std::string mesh_keys::move(const service_name &Service) {
  return moves() + Service.str();
}

std::string mesh_keys::coordinator() { return "chivebeam/conductor"; }

std::string writeHomeRecord(const home_record &Record, instant Now) {
  json::object Out;
  addNonEmpty(Out, "node", Record.Node.str());
  addNonEmpty(Out, "peer", Record.Peer.text());
  addNonEmpty(Out, "domain", Record.Domain.str());
  addNonEmpty(Out, "worker", Record.Start.Worker.str());
  Out["born_ms"] = Record.Start.StartedAtMs;
  Out["report"] = Record.Report;
  Out["change"] = Record.Change;
  Out["node_leaving"] = Record.NodeLeaving;
  Out["watches"] = Record.Watches;
  addNonEmpty(Out, "service", Record.Worker.Service.str());
  addNonEmpty(Out, "version", Record.Worker.Version.str());
  Out["slots"] = Record.Worker.Slots;
  Out["state"] = static_cast<int>(Record.Worker.State);
  Out["cold_us"] = microsecondsUntil(Record.Worker.ReadySince, Now);
  return json::serialize(Out);
}

result<home_record> readHomeRecord(std::string_view Text, instant Now) {
  result<json::value> Value = parse(Text);
  if (!Value)
    return tl::unexpected(Value.error());
  record_reader Reader(*Value);
  home_record Record;
  Record.Node = node_id(Reader.text("node"));
  std::optional<address> Peer = parseAddress(Reader.text("peer"));
  Record.Domain = failure_domain(Reader.text("domain"));
  Record.Start = {worker_id(Reader.text("worker")), Reader.number("born_ms")};
  Record.Report = static_cast<std::uint64_t>(Reader.count("report"));
  Record.Change = static_cast<std::uint64_t>(Reader.count("change"));
  Record.NodeLeaving = Reader.flag("node_leaving");
  Record.Watches = Reader.flag("watches");
  Record.Worker.Service = service_name(Reader.text("service"));
  Record.Worker.Version = version_name(Reader.text("version"));
  Record.Worker.Slots = static_cast<unsigned>(Reader.count("slots", MaxSlots));
  Record.Worker.State =
      static_cast<worker_state>(Reader.count("state", HighestState));
  Record.Worker.ReadySince = timeAfter(Reader.number("cold_us"), Now);
  if (!Peer || !isConnectable(*Peer) || Record.Node.empty())
    return tl::unexpected(
        error{error_kind::invalid_input, "/peer",
              "the record has no node or no valid peer address",
              "remove the key from the store"});
  Record.Peer = *Peer;
  return Reader.finish(std::move(Record));
}

std::string writeServiceMove(const service_move &Move) {
  json::object Out;
  addNonEmpty(Out, "id", Move.Rule.Id.str());
  addNonEmpty(Out, "service", Move.Rule.Service.str());
  addNonEmpty(Out, "from", Move.Rule.From.str());
  addNonEmpty(Out, "to", Move.Rule.To.str());
  Out["order"] = Move.Order;
  Out["start_us"] = Move.Rule.Start.time_since_epoch().count();
  Out["by_us"] = Move.Rule.Deadline.time_since_epoch().count();
  const move_progress &Progress = Move.Progress;
  Out["phase"] = static_cast<int>(Progress.Phase);
  Out["step"] = Progress.Step;
  Out["step_since_us"] = Progress.StepSince.time_since_epoch().count();
  Out["decided_at_us"] = Progress.DecidedAt.time_since_epoch().count();
  addNonEmpty(Out, "reason", Progress.Reason);
  Out["verdict"] = static_cast<int>(Progress.Recorded);
  addNonEmpty(Out, "progress_to", Progress.To.str());
  Out["share"] = Progress.Share;
  Out["steps_back"] = Progress.StepsBack;
  return json::serialize(Out);
}

result<service_move> readServiceMove(std::string_view Text) {
  result<json::value> Value = parse(Text);
  if (!Value)
    return tl::unexpected(Value.error());
  record_reader Reader(*Value);
  service_move Move;
  Move.Order = static_cast<std::uint64_t>(Reader.count("order"));
  Move.Rule.Id = move_id(Reader.text("id"));
  Move.Rule.Brief = true; // moves that an operator orders last seconds
  Move.Rule.Service = service_name(Reader.text("service"));
  Move.Rule.From = version_name(Reader.text("from"));
  Move.Rule.To = version_name(Reader.text("to"));
  Move.Rule.Start = instant(microseconds(Reader.number("start_us")));
  Move.Rule.Deadline = instant(microseconds(Reader.number("by_us")));
  move_progress &Progress = Move.Progress;
  Progress.Id = Move.Rule.Id;
  Progress.Phase = static_cast<move_phase>(Reader.count("phase", HighestPhase));
  Progress.Step = static_cast<unsigned>(Reader.count("step", MaxSlots));
  Progress.StepSince = instant(microseconds(Reader.number("step_since_us")));
  Progress.DecidedAt = instant(microseconds(Reader.number("decided_at_us")));
  Progress.Reason = Reader.text("reason");
  Progress.Recorded =
      static_cast<move_verdict>(Reader.count("verdict", HighestVerdict));
  Progress.To = version_name(Reader.text("progress_to"));
  Progress.Share = static_cast<unsigned>(Reader.count("share", FullShare));
  Progress.StepsBack =
      static_cast<unsigned>(Reader.count("steps_back", MaxSlots));
  return Reader.finish(std::move(Move));
}

} // namespace chivebeam
