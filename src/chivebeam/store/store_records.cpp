#include "store/store_records.h"

#include <charconv>
#include <limits>

#include "base/object_reader.h"

namespace chivebeam {

namespace json = boost::json;

std::string writeHead(const head_record &Head) {
  json::object Out;
  Out["number"] = Head.Number.value();
  Out["publish_id"] = Head.Id.str();
  return json::serialize(Out);
}

checked<head_record> readHead(std::string_view Text) {
  checked<json::value> Document = parseJson(Text);
  if (!Document)
    return tl::unexpected(Document.error());
  error_list Errors;
  object_reader Reader(*Document, "", Errors);
  head_record Head;
  Head.Number = config_number(static_cast<std::uint64_t>(
      Reader.integer("number", 1, std::numeric_limits<std::int64_t>::max())));
  Head.Id = publish_id(Reader.text("publish_id"));
  Reader.finish();
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Head;
}

std::string writeWatcherRecord(const watcher_record &Record) {
  return Record.Peer.text() + " " + std::to_string(Record.Lease.value());
}

std::optional<watcher_record> readWatcherRecord(std::string_view Text) {
  std::size_t Space = Text.find(' ');
  if (Space == std::string_view::npos)
    return std::nullopt;
  std::optional<address> Peer = parseAddress(Text.substr(0, Space));
  std::string_view Digits = Text.substr(Space + 1);
  std::uint64_t Lease = 0;
  const char *End = Digits.data() + Digits.size();
  auto [Stop, Code] = std::from_chars(Digits.data(), End, Lease);
  if (!Peer || Code != std::errc() || Stop != End)
    return std::nullopt;
  return watcher_record{*Peer, lease_id(Lease)};
}

} // namespace chivebeam
