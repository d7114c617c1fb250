#include "commands/status_command.h"

#include <iostream>
#include <map>

#include <boost/json.hpp>

#include "commands/command_tools.h"
#include "net/http_client.h"

namespace chivebeam {

namespace json = boost::json;
namespace options = boost::program_options;

namespace {

constexpr milliseconds StatusTimeout{3'000};
/// A fleet survey queries 16 nodes at a time, for at most one second each.
constexpr milliseconds FleetTimeout{60'000};
constexpr std::size_t MaxStatusBytes = 4 << 20;

std::string fieldText(const json::object &Object, std::string_view Key) {
  const json::value *Found = Object.if_contains(Key);
  if (!Found)
    return "-";
  return Found->is_string() ? std::string(Found->get_string())
                            : json::serialize(*Found);
}

/// Prints a refused configuration, a conflict and a store that is behind the
/// fleet. Returns true if there is any of them.
bool printProblems(const json::object &Status, const std::string &Prefix) {
  const json::value *Refused = Status.if_contains("refused");
  if (Refused && Refused->is_object()) {
    std::cout << Prefix << "refused configuration "
              << fieldText(Refused->get_object(), "number") << ":\n";
    const json::value *Errors = Refused->get_object().if_contains("errors");
    if (Errors && Errors->is_array())
      for (const json::value &Error : Errors->get_array())
        if (Error.is_string())
          std::cout << Prefix << "  " << Error.get_string().c_str() << '\n';
  }
  const json::value *Conflict = Status.if_contains("conflict");
  if (Conflict && Conflict->is_object())
    std::cout << Prefix << "conflict at "
              << fieldText(Conflict->get_object(), "number") << ": "
              << fieldText(Conflict->get_object(), "remedy") << '\n';
  bool IsStoreBehind = Status.contains("store_number_behind");
  if (IsStoreBehind)
    std::cout << Prefix << "the store is behind the fleet, at number "
              << fieldText(Status, "store_number_behind")
              << ": it was restored from an old backup\n";
  return Refused || Conflict || IsStoreBehind;
}

/// Prints the nodes by configuration number, and their problems. Returns true
/// if every node answered, all have the same configuration, and none has a
/// problem.
bool printFleet(const json::object &Survey) {
  std::map<std::string, std::vector<const json::object *>> ByNumber;
  const json::value *Nodes = Survey.if_contains("nodes");
  if (Nodes && Nodes->is_array())
    for (const json::value &Node : Nodes->get_array())
      if (Node.is_object()) {
        std::string Number = fieldText(Node.get_object(), "config_number") +
                             ", digest " +
                             fieldText(Node.get_object(), "config_digest");
        if (fieldText(Node.get_object(), "state") == "no answer")
          Number = "no answer";
        ByNumber[Number].push_back(&Node.get_object());
      }
  bool HasProblem = ByNumber.size() != 1 || ByNumber.contains("no answer");
  for (const auto &[Number, Group] : ByNumber) {
    bool NoAnswer = Number == "no answer";
    std::cout << (NoAnswer ? "" : "configuration ") << Number << ": "
              << Group.size() << " nodes\n";
    for (const json::object *Node : Group) {
      if (ByNumber.size() > 1)
        std::cout << "  " << fieldText(*Node, "node") << "  "
                  << fieldText(*Node, "state") << '\n';
      if (printProblems(*Node, "  " + fieldText(*Node, "node") + ": "))
        HasProblem = true;
    }
  }
  return !HasProblem;
}

void printText(const json::object &Status) {
  std::cout << "node " << fieldText(Status, "node") << ": "
            << fieldText(Status, "state") << ", configuration "
            << fieldText(Status, "config_number") << ", digest "
            << fieldText(Status, "config_digest") << ", store "
            << (fieldText(Status, "store_up") == "true" ? "up" : "down")
            << '\n';
  printProblems(Status, "");
  if (const json::value *Nodes = Status.if_contains("nodes"))
    for (const json::value &Item : Nodes->as_array()) {
      const json::object &Node = Item.as_object();
      std::cout << "  " << fieldText(Node, "node") << "  "
                << fieldText(Node, "state") << "  " << fieldText(Node, "domain")
                << "  " << fieldText(Node, "service") << ' '
                << fieldText(Node, "version") << ' '
                << fieldText(Node, "worker") << '\n';
    }
  if (const json::value *Moves = Status.if_contains("moves"))
    for (const json::value &Item : Moves->as_array())
      std::cout << "  move " << fieldText(Item.as_object(), "id") << ": "
                << fieldText(Item.as_object(), "phase") << ", step "
                << fieldText(Item.as_object(), "step") << '\n';
}

} // namespace

void status_command::addOptions(option_list &Options) const {
  auto Add = Options.add_options();
  Add("output", options::value<std::string>()->default_value("text"),
      "text or json");
  Add("fleet", options::bool_switch(),
      "query the configuration of every node that this node knows");
}

exit_code status_command::run(const option_values &Values,
                              const std::vector<std::string> &Arguments) const {
  std::optional<address> Node =
      Arguments.size() == 1 ? parseAddress(Arguments.front()) : std::nullopt;
  if (!Node)
    return usageError(*this,
                      "expects the control address of a node, as ip:port");
  bool Fleet = Values["fleet"].as<bool>();
  std::string_view Target =
      Fleet ? "/chivebeam/v1/fleet" : "/chivebeam/v1/status";
  asio::io_context Context;
  result<http_response> Response = runToEnd(
      Context, httpCall(*Node, makeRequest(http::verb::get, Target, ""),
                        Fleet ? FleetTimeout : StatusTimeout, MaxStatusBytes));
  if (!Response) {
    std::cerr << Response.error().text() << '\n';
    return exit_code::check_failed;
  }
  if (wantsJson(Values)) {
    std::cout << Response->body() << '\n';
    return exit_code::done;
  }
  boost::system::error_code Code;
  json::value Status = json::parse(Response->body(), Code);
  if (Code || !Status.is_object()) {
    std::cerr
        << Node->text()
        << ": the answer is not a node status; give the control address of a "
           "node\n";
    return exit_code::check_failed;
  }
  if (Fleet)
    return printFleet(Status.get_object()) ? exit_code::done
                                           : exit_code::check_failed;
  printText(Status.get_object());
  return exit_code::done;
}

} // namespace chivebeam
