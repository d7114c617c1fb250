#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include "stand_ins/store_stand_in.h"
#include "stand_ins/worker_stand_in.h"

namespace options = boost::program_options;
using namespace chivebeam;
using namespace chivebeam::stand_ins;

namespace {

int runStore(asio::io_context &Context, const address &ListenAddress) {
  store_stand_in Store(Context);
  result<address> Bound = Store.listen(ListenAddress);
  if (!Bound) {
    std::cerr << Bound.error().text() << '\n';
    return 1;
  }
  std::cout << "listening=" << Bound->text() << std::endl;
  Context.run();
  return 0;
}

int runWorker(asio::io_context &Context, const address &ListenAddress,
              worker_settings Settings) {
  worker_stand_in Worker(Context, std::move(Settings));
  result<address> Bound = Worker.listen(ListenAddress);
  if (!Bound) {
    std::cerr << Bound.error().text() << '\n';
    return 1;
  }
  std::cout << "listening=" << Bound->text() << std::endl;
  Context.run();
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  options::options_description Options("chivebeam-standin store|worker");
  worker_settings Settings;
  std::string Role;
  std::string ListenAddress;
  std::string Node;
  auto Add = Options.add_options();
  Add("help", "show this text");
  Add("role", options::value(&Role), "store or worker");
  Add("listen", options::value(&ListenAddress)->default_value("127.0.0.1:0"),
      "address to listen on");
  Add("service", options::value(&Settings.Service), "worker: service name");
  Add("version", options::value(&Settings.Version), "worker: version");
  Add("slots", options::value(&Settings.Slots), "worker: slots");
  Add("service-ms", options::value(&Settings.ServiceMs),
      "worker: time that a call takes, in milliseconds");
  Add("cold-start-ms", options::value(&Settings.ColdStartMs),
      "worker: time after the start in which calls take five times as long");
  Add("fail-percent", options::value(&Settings.FailPercent),
      "worker: percentage of calls answered 500");
  Add("slow-factor", options::value(&Settings.SlowFactor),
      "worker: multiplies the time a call takes");
  Add("fault-path", options::value(&Settings.FaultPath),
      "worker: path prefix of the faults (default: all paths)");
  Add("lying-health", options::bool_switch(&Settings.AlwaysHealthy),
      "worker: /health answers ok although calls fail");
  Add("node", options::value(&Node), "worker: control address of its node");
  Add("execution-log", options::value(&Settings.ExecutionLog),
      "worker: file to which each execution appends a line");
  options::positional_options_description Positional;
  Positional.add("role", 1);
  options::variables_map Values;
  try {
    options::store(options::command_line_parser(Count, Arguments)
                       .options(Options)
                       .positional(Positional)
                       .run(),
                   Values);
    options::notify(Values);
  } catch (const options::error &Problem) {
    std::cerr << Problem.what() << "; see --help\n";
    return 2;
  }
  std::optional<address> ParsedAddress = parseAddress(ListenAddress);
  Settings.Node = parseAddress(Node).value_or(address());
  if (Values.count("help") > 0 || !ParsedAddress) {
    std::cout << Options;
    return Values.count("help") > 0 ? 0 : 2;
  }
  asio::io_context Context;
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](error_code, int) { Context.stop(); });
  if (Role == "store")
    return runStore(Context, *ParsedAddress);
  if (Role == "worker")
    return runWorker(Context, *ParsedAddress, std::move(Settings));
  std::cerr << "name a role, store or worker; see --help\n";
  return 2;
}
