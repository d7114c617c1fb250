#include "node/node_settings.h"

#include "base/object_reader.h"

namespace chivebeam {

namespace json = boost::json;

namespace {

address readAddress(object_reader &Reader, std::string_view Key,
                    const std::string &Text) {
  std::optional<address> Parsed = parseAddress(Text);
  if (!Parsed && !Text.empty())
    Reader.fail(Key, "\"" + Text + "\" is not an address",
                "write ip:port, as in \"127.0.0.1:7400\"");
  return Parsed.value_or(address());
}

address requiredAddress(object_reader &Reader, std::string_view Key) {
  return readAddress(Reader, Key, Reader.text(Key));
}

std::vector<address> addressList(object_reader &Reader, std::string_view Key,
                                 bool Required) {
  std::vector<address> Addresses;
  Reader.forEach(Key, Required, [&](const json::value &Value, std::string) {
    if (Value.is_string())
      Addresses.push_back(
          readAddress(Reader, Key, std::string(Value.get_string())));
    else
      Reader.fail(Key, "an address is not a string", "write it in quotes");
  });
  return Addresses;
}

bool isLoopback(const address &Address) {
  return Address.Ip.starts_with("127.") || Address.Ip == "::1";
}

void readLimits(const json::value &Value, std::string Path, error_list &Errors,
                node_limits &Limits) {
  object_reader Reader(Value, std::move(Path), Errors);
  Limits.MaxHeaderBytes = static_cast<std::uint64_t>(
      Reader.integer("max_header_bytes", 1'024, 1 << 20, 16 << 10));
  Limits.MaxBodyBytes = static_cast<std::uint64_t>(
      Reader.integer("max_body_bytes", 0, std::int64_t{1} << 40, 64 << 20));
  Limits.WorkerConnections = static_cast<unsigned>(
      Reader.integer("worker_connections", 1, 10'000, 100));
  Limits.CallerConnections = static_cast<unsigned>(
      Reader.integer("caller_connections", 1, 100'000, 2'000));
  Limits.IdleTimeout =
      milliseconds(Reader.integer("idle_timeout_ms", 100, 3'600'000, 60'000));
  Limits.DrainLimit =
      milliseconds(Reader.integer("drain_limit_ms", 0, 3'600'000, 30'000));
  Limits.DrainNotice =
      milliseconds(Reader.integer("drain_notice_ms", 0, 60'000, 1'000));
  Reader.finish();
}

routing_policy readRouting(object_reader &Reader) {
  std::string Text = Reader.textOr("routing", "balanced");
  if (Text != "balanced" && Text != "round_robin")
    Reader.fail("routing", "\"" + Text + "\" is not a routing policy",
                "write \"balanced\" or \"round_robin\"");
  return Text == "round_robin" ? routing_policy::round_robin
                               : routing_policy::balanced;
}

void checkAddresses(object_reader &Reader, const node_settings &Settings) {
  if (!Settings.Control.Ip.empty() && !isLoopback(Settings.Control))
    Reader.fail("control_address",
                Settings.Control.text() + " is not a loopback address",
                "use 127.0.0.1 or [::1]; only a backend server on this "
                "instance may announce itself");
  if (Settings.Relay.Ip != Settings.Peer.Ip)
    Reader.fail("relay_address", "its IP differs from that of peer_address",
                "use the same IP for both");
}

} // namespace

checked<node_settings> readSettings(std::string_view Text) {
  checked<json::value> Document = parseJson(Text);
  if (!Document)
    return tl::unexpected(Document.error());
  error_list Errors;
  object_reader Reader(*Document, "", Errors);
  node_settings Settings;
  Settings.Fleet = fleet_name(Reader.text("fleet"));
  Settings.Node = node_id(Reader.text("node"));
  Settings.Region = region_name(Reader.text("region"));
  Settings.Domain = failure_domain(Reader.text("failure_domain"));
  Settings.Traffic = requiredAddress(Reader, "traffic_address");
  Settings.Peer = requiredAddress(Reader, "peer_address");
  Settings.Relay = requiredAddress(Reader, "relay_address");
  Settings.Control = requiredAddress(Reader, "control_address");
  Settings.Store = addressList(Reader, "store", true);
  if (Settings.Store.empty() && Reader.find("store"))
    Reader.fail("store", "is empty", "list at least one address of the store");
  Settings.Contacts = addressList(Reader, "contacts", false);
  if (const json::value *Limits = Reader.find("limits"))
    readLimits(*Limits, "/limits", Errors, Settings.Limits);
  Settings.Routing = readRouting(Reader);
  checkAddresses(Reader, Settings);
  Reader.finish();
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Settings;
}

} // namespace chivebeam
