#include "commands/publish_command.h"

#include <iostream>
#include <random>

#include "base/object_reader.h"
#include "commands/source_files.h"
#include "config/compiler.h"
#include "config/publish_check.h"
#include "net/clock.h"
#include "store/publisher.h"

namespace chivebeam {

namespace json = boost::json;
namespace options = boost::program_options;

namespace {

constexpr std::size_t MaxNodesQueried = 3;
constexpr milliseconds NodeTimeout{500};
constexpr std::size_t MaxReportBytes = 256 << 10;

publish_id makePublishId() {
  std::random_device Device;
  std::string Text;
  for (int Word = 0; Word < 4; ++Word)
    Text += std::to_string(Device()) + (Word < 3 ? "-" : "");
  return publish_id(Text);
}

/// Returns the configuration number that a node reports, or zero if it does not
/// answer.
config_number queryConfigNumber(const address &Peer, const std::string &Fleet) {
  asio::io_context Context;
  http_request Request = makeRequest(http::verb::get, "/peer/config", "");
  Request.set("Chivebeam-Fleet", Fleet);
  result<http_response> Response = runToEnd(
      Context, httpCall(Peer, std::move(Request), NodeTimeout, MaxReportBytes));
  if (!Response || Response->result() != http::status::ok)
    return {};
  boost::system::error_code Code;
  json::value Report = json::parse(Response->body(), Code);
  if (Code || !Report.is_object())
    return {};
  return config_number(numberField(Report.get_object(), "config_number"));
}

/// Returns the highest configuration number that a few watcher nodes report. A
/// store that was restored from an old backup would otherwise give a number
/// that every node ignores.
config_number findFleetNumber(store_access &Access, const std::string &Fleet) {
  config_number Highest;
  result<range_answer> Watchers =
      Access.read(Access.keys().watcherLeases(), true);
  if (!Watchers)
    return Highest;
  std::size_t Queried = 0;
  for (const store_entry &Entry : Watchers->Entries) {
    std::optional<watcher_record> Watcher = readWatcherRecord(Entry.Value);
    if (!Watcher || Queried++ >= MaxNodesQueried)
      continue;
    Highest = std::max(Highest, queryConfigNumber(Watcher->Peer, Fleet));
  }
  return Highest;
}

exit_code printReport(const publish_report &Report) {
  const config_source &Source = Report.Source;
  switch (Report.Outcome) {
  case publish_outcome::done:
    std::cout << "published number " << Source.Number << ", digest "
              << Report.Digest << '\n';
    return exit_code::done;
  case publish_outcome::unchanged:
    std::cout << "unchanged: number " << Source.Number
              << " has the same content; nothing was published\n";
    return exit_code::done;
  case publish_outcome::refused:
    printErrors(Report.Problems);
    return exit_code::check_failed;
  case publish_outcome::lost_race:
    std::cerr << "another publication was first: number " << Source.Number
              << ", id " << Source.Id << ", at "
              << formatTime(Source.PublishedAt)
              << "; check it with chivebeam history, then publish again\n";
    return exit_code::lost_race;
  case publish_outcome::unavailable:
    std::cerr << "nothing was published: ";
    return storeError(Report.Problems.front());
  case publish_outcome::unknown:
    std::cerr << "the store did not confirm whether it accepted publication "
              << Source.Id << "; check for it with chivebeam history, or "
              << "publish again, which changes nothing if it was accepted\n";
    return exit_code::store_unreachable;
  }
  return exit_code::store_unreachable;
}

} // namespace

void publish_command::addOptions(option_list &Options) const {
  addStoreOptions(Options);
  auto Add = Options.add_options();
  Add("drop-moves", options::bool_switch(),
      "publish even if unfinished moves are dropped or changed");
  Add("above", options::value<std::uint64_t>()->default_value(0),
      "publish under a number above this one; needed if the store was restored "
      "from an old backup and no node can be reached");
}

exit_code
publish_command::run(const option_values &Values,
                     const std::vector<std::string> &Arguments) const {
  if (Arguments.size() != 2)
    return usageError(*this, "expects the files REGISTER and RULES");
  checked<config_source> Source = readSourceFiles(Arguments[0], Arguments[1]);
  checked<snapshot_ptr> Compiled = Source.and_then(compile);
  if (!Compiled) {
    printErrors(Compiled.error());
    return exit_code::check_failed;
  }
  std::optional<store_access> Access = openStore(*this, Values);
  if (!Access)
    return exit_code::usage;
  for (const error &Warning : findWarnings(**Compiled))
    std::cerr << "warning: " << Warning.text() << '\n';
  publish_request Request;
  Request.Draft = std::move(*Source);
  Request.Draft.Id = makePublishId();
  Request.Draft.PublishedAt = currentTime();
  Request.Compiled = *Compiled;
  Request.MayDropMoves = Values["drop-moves"].as<bool>();
  Request.FleetNumber =
      std::max(config_number(Values["above"].as<std::uint64_t>()),
               findFleetNumber(*Access, Values["fleet"].as<std::string>()));
  return printReport(Access->publish(std::move(Request)));
}

} // namespace chivebeam
