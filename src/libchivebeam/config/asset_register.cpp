#include "config/asset_register.h"

#include <algorithm>
#include <set>

#include "base/object_reader.h"

namespace chivebeam {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxWorkersPerService = 10'000;
constexpr std::int64_t MaxSlotsPerWorker = 10'000;

domain_entry readDomain(const json::value &Value, std::string Path,
                        error_list &Errors) {
  object_reader Reader(Value, std::move(Path), Errors);
  domain_entry Entry;
  Entry.Domain = failure_domain(Reader.text("name"));
  Entry.Region = region_name(Reader.text("region"));
  Reader.finish();
  return Entry;
}

/// Reads the field "versions" and checks that it lists the current version.
void readVersions(object_reader &Reader, service_entry &Entry) {
  Reader.forEach("versions", true, [&](const json::value &Value, std::string) {
    if (!Value.is_string() || Value.get_string().empty()) {
      Reader.fail("versions", "a version is not a string",
                  "write each version in quotes");
      return;
    }
    version_name Version{std::string(Value.get_string())};
    if (std::find(Entry.Versions.begin(), Entry.Versions.end(), Version) !=
        Entry.Versions.end()) {
      Reader.fail("versions", "\"" + Version.str() + "\" stands twice",
                  "write each version once");
      return;
    }
    Entry.Versions.push_back(std::move(Version));
  });
  for (const version_name &Version : Entry.Versions)
    if (Version == Entry.Version)
      return;
  if (!Entry.Version.empty())
    Reader.fail("version",
                "\"" + Entry.Version.str() + "\" is not in \"versions\"",
                "add it there or name one that is listed");
}

service_entry readService(const json::value &Value, std::string Path,
                          error_list &Errors) {
  object_reader Reader(Value, std::move(Path), Errors);
  service_entry Entry;
  Entry.Service = service_name(Reader.text("name"));
  std::string Class = Reader.text("class");
  if (std::optional<work_class> Parsed = parseWorkClass(Class))
    Entry.Class = *Parsed;
  else if (!Class.empty())
    Reader.fail("class", "\"" + Class + "\" is not a class of work",
                "use status, upload or payment");
  Entry.Version = version_name(Reader.text("version"));
  Entry.Workers =
      static_cast<unsigned>(Reader.integer("workers", 1, MaxWorkersPerService));
  Entry.Slots =
      static_cast<unsigned>(Reader.integer("slots", 1, MaxSlotsPerWorker));
  readVersions(Reader, Entry);
  Reader.finish();
  return Entry;
}

/// Appends an error for each entry of the array Key whose name an earlier entry
/// has. An empty name is skipped; the reader has already reported it.
template <typename Entry, typename NameOf>
void rejectDuplicates(const std::vector<Entry> &Entries, std::string_view Key,
                      NameOf Name, error_list &Errors) {
  std::set<std::string> Seen;
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    const std::string &Text = Name(Entries[Index]);
    if (!Text.empty() && !Seen.insert(Text).second)
      Errors.push_back(
          {error_kind::invalid_input,
           "/" + std::string(Key) + "/" + std::to_string(Index) + "/name",
           "\"" + Text + "\" stands twice", "remove one entry or rename it"});
  }
}

} // namespace

checked<asset_register> readRegister(const json::value &Document) {
  error_list Errors;
  asset_register Register;
  object_reader Reader(Document, "", Errors);
  Reader.forEach(
      "failure_domains", true, [&](const json::value &Value, std::string Path) {
        Register.Domains.push_back(readDomain(Value, std::move(Path), Errors));
      });
  Reader.forEach("services", true,
                 [&](const json::value &Value, std::string Path) {
                   Register.Services.push_back(
                       readService(Value, std::move(Path), Errors));
                 });
  Reader.finish();
  rejectDuplicates(
      Register.Domains, "failure_domains",
      [](const domain_entry &Entry) -> const std::string & {
        return Entry.Domain.str();
      },
      Errors);
  rejectDuplicates(
      Register.Services, "services",
      [](const service_entry &Entry) -> const std::string & {
        return Entry.Service.str();
      },
      Errors);
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Register;
}

} // namespace chivebeam
