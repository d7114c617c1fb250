#include "base/object_reader.h"

#include <cstdio>

#include "base/duplicate_key_check.h"

namespace chivebeam {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxJsonDepth = 32;

/// Returns the JSON type of Value for use in error messages.
std::string_view kindName(const json::value &Value) {
  switch (Value.kind()) {
  case json::kind::null:
    return "null";
  case json::kind::bool_:
    return "a boolean";
  case json::kind::int64:
  case json::kind::uint64:
  case json::kind::double_:
    return "a number";
  case json::kind::string:
    return "a string";
  case json::kind::array:
    return "an array";
  case json::kind::object:
    return "an object";
  }
  return "an unknown value";
}

std::string describeTypeMismatch(std::string_view Expected,
                                 const json::value &Found) {
  return "expected " + std::string(Expected) + ", found " +
         std::string(kindName(Found));
}

} // namespace

checked<json::value> parseJson(std::string_view Text) {
  if (std::optional<error> Duplicate = findDuplicateKey(Text, MaxJsonDepth))
    return tl::unexpected(error_list{*Duplicate});
  json::parse_options Options;
  Options.allow_comments = true;
  Options.max_depth = MaxJsonDepth;
  boost::system::error_code Code;
  json::value Value = json::parse(Text, Code, {}, Options);
  if (Code)
    return tl::unexpected(error_list{
        {error_kind::invalid_input, "", "not JSON: " + Code.message(),
         "correct the syntax; comments are allowed"}});
  return Value;
}

object_reader::object_reader(const json::value &Value, std::string ObjectPath,
                             error_list &ErrorList)
    : Object(Value.if_object()), Path(std::move(ObjectPath)),
      Errors(ErrorList) {
  if (!Object)
    Errors.push_back({error_kind::invalid_input, Path,
                      describeTypeMismatch("an object", Value),
                      "write it as {...}"});
}

std::string object_reader::pathOf(std::string_view Key) const {
  return Path + "/" + std::string(Key);
}

void object_reader::fail(std::string_view Key, std::string Message,
                         std::string Remedy) {
  Errors.push_back({error_kind::invalid_input, pathOf(Key), std::move(Message),
                    std::move(Remedy)});
}

const json::value *object_reader::find(std::string_view Key) {
  ReadKeys.insert(std::string(Key));
  return Object ? Object->if_contains(Key) : nullptr;
}

std::string object_reader::text(std::string_view Key) {
  const json::value *Found = find(Key);
  if (!Found) {
    if (Object)
      fail(Key, "missing", "add this field as a string");
    return {};
  }
  if (!Found->is_string() || Found->get_string().empty()) {
    fail(Key, describeTypeMismatch("a string that is not empty", *Found),
         "write a string in quotes");
    return {};
  }
  return std::string(Found->get_string());
}

std::string object_reader::textOr(std::string_view Key, std::string Default) {
  return find(Key) ? text(Key) : Default;
}

std::int64_t object_reader::integer(std::string_view Key, std::int64_t Low,
                                    std::int64_t High,
                                    std::optional<std::int64_t> Default) {
  std::string Range = "give a whole number from " + std::to_string(Low) +
                      " to " + std::to_string(High);
  const json::value *Found = find(Key);
  if (!Found) {
    if (Object && !Default)
      fail(Key, "missing", Range);
    return Default.value_or(Low);
  }
  if (!Found->is_int64()) {
    fail(Key, describeTypeMismatch("a whole number", *Found), Range);
    return Low;
  }
  std::int64_t Number = Found->get_int64();
  if (Number < Low || Number > High) {
    fail(Key, std::to_string(Number) + " is out of range", Range);
    return Low;
  }
  return Number;
}

bool object_reader::flagOr(std::string_view Key, bool Default) {
  const json::value *Found = find(Key);
  if (!Found)
    return Default;
  if (!Found->is_bool()) {
    fail(Key, describeTypeMismatch("a boolean", *Found), "write true or false");
    return Default;
  }
  return Found->get_bool();
}

instant object_reader::time(std::string_view Key) {
  std::string Text = text(Key);
  if (Text.empty())
    return {};
  std::optional<instant> Parsed = parseTime(Text);
  if (!Parsed)
    fail(Key, "\"" + Text + "\" is not a time",
         "write UTC as in \"2026-12-04T18:30:00Z\"");
  return Parsed.value_or(instant());
}

void object_reader::forEach(
    std::string_view Key, bool Required,
    const std::function<void(const json::value &, std::string)> &Visit) {
  const json::value *Found = find(Key);
  if (!Found) {
    if (Required && Object)
      fail(Key, "missing", "add this field as an array");
    return;
  }
  const json::array *Elements = Found->if_array();
  if (!Elements) {
    fail(Key, describeTypeMismatch("an array", *Found), "write it as [...]");
    return;
  }
  std::size_t Index = 0;
  for (const json::value &Element : *Elements)
    Visit(Element, pathOf(Key) + "/" + std::to_string(Index++));
}

void object_reader::finish() {
  if (!Object)
    return;
  for (const json::key_value_pair &Field : *Object) {
    std::string Key(Field.key());
    if (!ReadKeys.contains(Key))
      fail(Key, "unknown field", "remove it or correct its name");
  }
}

std::optional<instant> parseTime(std::string_view Text) {
  int Year = 0;
  unsigned Month = 0;
  unsigned Day = 0;
  unsigned Hour = 0;
  unsigned Minute = 0;
  unsigned Millis = 0;
  unsigned Second = 0;
  int ParsedLength = 0;
  std::string Copy(Text);
  if (std::sscanf(Copy.c_str(), "%4d-%2u-%2uT%2u:%2u:%2u%n", &Year, &Month,
                  &Day, &Hour, &Minute, &Second, &ParsedLength) != 6)
    return std::nullopt;
  std::string_view Rest = std::string_view(Copy).substr(ParsedLength);
  if (Rest.size() == 5 && Rest[0] == '.') {
    if (std::sscanf(Copy.c_str() + ParsedLength, ".%3u", &Millis) != 1)
      return std::nullopt;
    Rest.remove_prefix(4);
  }
  std::chrono::year_month_day Date{std::chrono::year(Year),
                                   std::chrono::month(Month),
                                   std::chrono::day(Day)};
  if (Rest != "Z" || !Date.ok() || Hour > 23 || Minute > 59 || Second > 59)
    return std::nullopt;
  return instant(std::chrono::sys_days(Date)) + std::chrono::hours(Hour) +
         std::chrono::minutes(Minute) + seconds(Second) + milliseconds(Millis);
}

std::string formatTime(instant Time) {
  auto Days = std::chrono::floor<std::chrono::days>(Time);
  std::chrono::year_month_day Date(Days);
  std::chrono::hh_mm_ss Clock(std::chrono::floor<milliseconds>(Time - Days));
  char Text[40];
  std::snprintf(Text, sizeof Text, "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
                static_cast<int>(Date.year()),
                static_cast<unsigned>(Date.month()),
                static_cast<unsigned>(Date.day()),
                static_cast<int>(Clock.hours().count()),
                static_cast<int>(Clock.minutes().count()),
                static_cast<int>(Clock.seconds().count()),
                static_cast<int>(Clock.subseconds().count()));
  return Text;
}

} // namespace chivebeam
