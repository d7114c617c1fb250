#include "commands/command_tools.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace chivebeam {

namespace options = boost::program_options;

namespace {

constexpr milliseconds StoreTimeout{3'000};

} // namespace

result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Text;
  Text << File.rdbuf();
  if (!File)
    return tl::unexpected(error{error_kind::not_found, Path, "cannot be read",
                                "check the path and its permissions"});
  return Text.str();
}

void printErrors(const error_list &Errors) {
  for (const error &Error : Errors)
    std::cerr << Error.text() << '\n';
}

exit_code usageError(const command &Command, std::string_view Problem) {
  std::cerr << "chivebeam " << Command.name() << ": " << Problem
            << "; see chivebeam " << Command.name() << " --help\n";
  return exit_code::usage;
}

void addStoreOptions(command::option_list &Options) {
  auto Add = Options.add_options();
  Add("store", options::value<std::string>()->required(),
      "ip:port of the platform's key-value service");
  Add("fleet", options::value<std::string>()->required(),
      "name of the fleet, as in the nodes' settings");
  Add("output", options::value<std::string>()->default_value("text"),
      "text or json");
}

bool wantsJson(const command::option_values &Values) {
  return Values["output"].as<std::string>() == "json";
}

std::optional<store_access> openStore(const command &Command,
                                      const command::option_values &Values) {
  std::string Text = Values["store"].as<std::string>();
  std::optional<address> Server = parseAddress(Text);
  if (!Server) {
    usageError(Command,
               "--store \"" + Text + "\" is not an address; write ip:port");
    return std::nullopt;
  }
  return store_access(*Server, fleet_name(Values["fleet"].as<std::string>()));
}

store_access::store_access(address Server, const fleet_name &FleetName)
    : Context(std::make_unique<asio::io_context>()),
      Store(std::make_unique<gateway_store>(
          std::vector<address>{std::move(Server)}, StoreTimeout)),
      Fleet(FleetName), Keys(FleetName) {}

result<range_answer> store_access::read(const std::string &Key, bool IsPrefix) {
  return runToEnd(*Context, Store->range(Key, IsPrefix));
}

result<range_answer> store_access::readNewestSource() {
  result<range_answer> Head = read(Keys.head(), false);
  if (!Head || Head->Entries.empty())
    return Head;
  checked<head_record> Record = readHead(Head->Entries.front().Value);
  if (!Record)
    return tl::unexpected(Record.error().front());
  return read(Keys.source(Record->Number), false);
}

publish_report store_access::publish(publish_request Request) {
  publisher Publisher(*Store, Fleet);
  return runToEnd(*Context, Publisher.publish(std::move(Request)));
}

exit_code storeError(const error &Error) {
  std::cerr << "store " << Error.text() << '\n';
  return exit_code::store_unreachable;
}

} // namespace chivebeam
