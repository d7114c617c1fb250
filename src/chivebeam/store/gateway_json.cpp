#include "store/gateway_json.h"

#include <algorithm>
#include <charconv>

#include "store/base64.h"

namespace chivebeam {

namespace json = boost::json;

std::string prefixEnd(std::string Prefix) {
  while (!Prefix.empty() && static_cast<unsigned char>(Prefix.back()) == 0xff)
    Prefix.pop_back();
  if (!Prefix.empty())
    ++Prefix.back();
  return Prefix;
}

std::string keyAfter(const std::string &Key) {
  return Key.empty() ? Key : Key + '\0';
}

json::object rangeToJson(const std::string &Key, bool IsPrefix) {
  json::object Body;
  Body["key"] = encodeBase64(Key);
  if (IsPrefix)
    Body["range_end"] = encodeBase64(prefixEnd(Key));
  return Body;
}

json::object pageToJson(const std::string &Prefix, const std::string &After,
                        unsigned Limit) {
  json::object Body;
  Body["key"] = encodeBase64(std::max(Prefix, keyAfter(After)));
  Body["range_end"] = encodeBase64(prefixEnd(Prefix));
  Body["limit"] = std::to_string(Limit);
  return Body;
}

json::object transactionToJson(const store_transaction &Transaction) {
  json::array Compare;
  for (const store_condition &Condition : Transaction.Conditions) {
    json::object Item;
    Item["key"] = encodeBase64(Condition.Key);
    Item["target"] = "MOD";
    Item["result"] = "EQUAL";
    Item["mod_revision"] = std::to_string(Condition.ModifiedAt.value());
    Compare.push_back(std::move(Item));
  }
  json::array Success;
  for (const store_put &Put : Transaction.Puts) {
    json::object Item;
    Item["key"] = encodeBase64(Put.Key);
    Item["value"] = encodeBase64(Put.Value);
    if (Put.Lease.value() != 0)
      Item["lease"] = std::to_string(Put.Lease.value());
    json::object Operation;
    Operation["request_put"] = std::move(Item);
    Success.push_back(std::move(Operation));
  }
  json::object Body;
  Body["compare"] = std::move(Compare);
  Body["success"] = std::move(Success);
  return Body;
}

json::object watchToJson(const std::string &Prefix, store_revision From) {
  json::object Create = rangeToJson(Prefix, true);
  Create["start_revision"] = std::to_string(From.value());
  json::object Body;
  Body["create_request"] = std::move(Create);
  return Body;
}

std::uint64_t numberField(const json::object &Object, std::string_view Key) {
  const json::value *Found = Object.if_contains(Key);
  if (!Found)
    return 0;
  if (Found->is_int64())
    return static_cast<std::uint64_t>(Found->get_int64());
  std::uint64_t Number = 0;
  if (const json::string *Text = Found->if_string())
    std::from_chars(Text->data(), Text->data() + Text->size(), Number);
  return Number;
}

namespace {

std::optional<std::string> bytesField(const json::object &Object,
                                      std::string_view Key) {
  const json::value *Found = Object.if_contains(Key);
  if (!Found)
    return std::string();
  const json::string *Text = Found->if_string();
  return Text ? decodeBase64({Text->data(), Text->size()}) : std::nullopt;
}

store_revision revisionOf(const json::object &Answer) {
  const json::value *Header = Answer.if_contains("header");
  if (!Header || !Header->is_object())
    return {};
  return store_revision(numberField(Header->get_object(), "revision"));
}

error invalidAnswer() {
  return {error_kind::unavailable, "store",
          "the answer has an unexpected JSON structure",
          "check that the address is the platform's key-value service"};
}

} // namespace

std::optional<store_entry> entryFromJson(const json::value &Value) {
  const json::object *Object = Value.if_object();
  if (!Object)
    return std::nullopt;
  std::optional<std::string> Key = bytesField(*Object, "key");
  std::optional<std::string> Bytes = bytesField(*Object, "value");
  if (!Key || !Bytes)
    return std::nullopt;
  return store_entry{*Key, *Bytes,
                     store_revision(numberField(*Object, "mod_revision"))};
}

result<range_answer> rangeFromJson(const json::object &Answer) {
  range_answer Range;
  Range.Revision = revisionOf(Answer);
  const json::value *Entries = Answer.if_contains("kvs");
  if (!Entries)
    return Range;
  if (!Entries->is_array())
    return tl::unexpected(invalidAnswer());
  for (const json::value &Item : Entries->get_array()) {
    std::optional<store_entry> Entry = entryFromJson(Item);
    if (!Entry)
      return tl::unexpected(invalidAnswer());
    Range.Entries.push_back(std::move(*Entry));
  }
  return Range;
}

std::vector<watch_event> eventsFromJson(const json::object &Result) {
  std::vector<watch_event> Events;
  const json::value *Items = Result.if_contains("events");
  if (!Items || !Items->is_array())
    return Events;
  for (const json::value &Item : Items->get_array()) {
    const json::object *Object = Item.if_object();
    const json::value *Entry = Object ? Object->if_contains("kv") : nullptr;
    std::optional<store_entry> Read =
        Entry ? entryFromJson(*Entry) : std::nullopt;
    if (!Read)
      continue;
    const json::value *Type = Object->if_contains("type");
    bool Deleted = Type && Type->is_string() && Type->get_string() == "DELETE";
    Events.push_back({std::move(*Read), Deleted});
  }
  return Events;
}

} // namespace chivebeam
