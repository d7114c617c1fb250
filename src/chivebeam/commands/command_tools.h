#pragma once

#include <functional>
#include <optional>
#include <string>

#include "commands/command.h"
#include "config/config_source.h"
#include "store/gateway_json.h"
#include "store/gateway_store.h"
#include "store/publisher.h"
#include "store/store_keys.h"

namespace chivebeam {

/// Reads a whole file. An error contains its path.
result<std::string> readFile(const std::string &Path);
/// Prints each error on its own line of standard error.
void printErrors(const error_list &Errors);
/// Prints a usage error and returns its exit code.
exit_code usageError(const command &Command, std::string_view Problem);

/// Adds --store, --fleet and --output.
void addStoreOptions(command::option_list &Options);
bool wantsJson(const command::option_values &Values);

/// Runs Context until the coroutine completes and returns its result.
template <typename Value>
Value runToEnd(asio::io_context &Context, awaitable<Value> Task) {
  std::optional<Value> Answer;
  asio::co_spawn(Context, std::move(Task),
                 [&](const std::exception_ptr &Problem, Value Result) {
                   if (Problem)
                     std::rethrow_exception(Problem);
                   Answer = std::move(Result);
                 });
  Context.restart();
  Context.run();
  return std::move(*Answer);
}

/// Synchronous client of the store given by --store, for the fleet given by
/// --fleet.
class store_access {
public:
  store_access(address Server, const fleet_name &Fleet);

  const store_keys &keys() const { return Keys; }
  /// Reads one key or all keys with a prefix. Blocks until the store answers.
  result<range_answer> read(const std::string &Key, bool IsPrefix);
  /// Reads the newest configuration source; no entry if none is published.
  result<range_answer> readNewestSource();
  publish_report publish(publish_request Request);

private:
  std::unique_ptr<asio::io_context> Context;
  std::unique_ptr<gateway_store> Store;
  fleet_name Fleet;
  store_keys Keys;
};

/// Creates a client from the options. Prints a usage error and returns nothing
/// if --store is not an address.
std::optional<store_access> openStore(const command &Command,
                                      const command::option_values &Values);

/// Prints an error of the store and returns exit_code::store_unreachable.
exit_code storeError(const error &Error);

} // namespace chivebeam
