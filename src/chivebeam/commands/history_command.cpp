#include "commands/history_command.h"

#include <algorithm>
#include <iostream>

#include "base/object_reader.h"
#include "commands/command_tools.h"
#include "config/compiler.h"
#include "store/store_records.h"

namespace chivebeam {

namespace json = boost::json;

namespace {

void print(const config_source &Source, bool IsNewest, bool Json) {
  checked<snapshot_ptr> Compiled = compile(Source);
  if (!Json) {
    std::cout << Source.Number << "  " << formatTime(Source.PublishedAt) << "  "
              << Source.Id << "  digest ";
    if (Compiled)
      std::cout << (*Compiled)->digest();
    else
      std::cout << "none: " << Compiled.error().front().text();
    std::cout << (IsNewest ? "  newest\n" : "\n");
    return;
  }
  json::object Out;
  Out["number"] = Source.Number.value();
  Out["published_at"] = formatTime(Source.PublishedAt);
  Out["publish_id"] = Source.Id.str();
  Out["newest"] = IsNewest;
  if (Compiled)
    Out["digest"] = (*Compiled)->digest().value();
  else
    Out["error"] = Compiled.error().front().text();
  std::cout << json::serialize(Out) << '\n';
}

/// Returns the newest published number, or zero if there is none.
result<config_number> headNumber(store_access &Access) {
  result<range_answer> Head = Access.read(Access.keys().head(), false);
  if (!Head)
    return tl::unexpected(Head.error());
  if (Head->Entries.empty())
    return config_number();
  checked<head_record> Record = readHead(Head->Entries.front().Value);
  return Record ? Record->Number : config_number();
}

} // namespace

void history_command::addOptions(option_list &Options) const {
  addStoreOptions(Options);
}

exit_code
history_command::run(const option_values &Values,
                     const std::vector<std::string> &Arguments) const {
  if (!Arguments.empty())
    return usageError(*this, "takes no arguments");
  std::optional<store_access> Access = openStore(*this, Values);
  if (!Access)
    return exit_code::usage;
  result<config_number> Newest = headNumber(*Access);
  if (!Newest)
    return storeError(Newest.error());
  result<range_answer> Sources = Access->read(Access->keys().sources(), true);
  if (!Sources)
    return storeError(Sources.error());
  std::reverse(Sources->Entries.begin(), Sources->Entries.end());
  for (const store_entry &Entry : Sources->Entries) {
    checked<config_source> Source = readSource(Entry.Value);
    if (Source)
      print(*Source, Source->Number == *Newest, wantsJson(Values));
    else
      std::cerr << Entry.Key << ": " << Source.error().front().text() << '\n';
  }
  return exit_code::done;
}

} // namespace chivebeam
