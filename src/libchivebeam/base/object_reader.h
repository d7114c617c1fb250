#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "base/error.h"
#include "base/units.h"

namespace chivebeam {

/// Parses JSON with comments. Bounded nesting; duplicate keys are errors.
checked<boost::json::value> parseJson(std::string_view Text);

/// Reads the fields of one JSON object strictly: missing fields, wrong types,
/// numbers out of range and unknown fields are added to an error list, each
/// with its JSON pointer and a remedy. Not thread safe.
class object_reader {
public:
  /// \pre Errors outlives the reader; Value outlives the reader.
  object_reader(const boost::json::value &Value, std::string Path,
                error_list &Errors);

  std::string text(std::string_view Key);
  std::string textOr(std::string_view Key, std::string Default);
  std::int64_t integer(std::string_view Key, std::int64_t Low,
                       std::int64_t High,
                       std::optional<std::int64_t> Default = {});
  bool flagOr(std::string_view Key, bool Default);
  /// Reads a time such as "2026-12-04T18:30:00Z".
  instant time(std::string_view Key);
  /// Calls Visit(element, path) for each element; a missing array is an error
  /// only if Required.
  void forEach(std::string_view Key, bool Required,
               const std::function<void(const boost::json::value &,
                                        std::string)> &Visit);
  const boost::json::value *find(std::string_view Key);

  /// Reports each field that was never asked for.
  void finish();

  std::string pathOf(std::string_view Key) const;
  void fail(std::string_view Key, std::string Message, std::string Remedy);

private:
  const boost::json::object *Object = nullptr;
  std::string Path;
  error_list &Errors;
  std::set<std::string, std::less<>> ReadKeys;
};

/// Parses an RFC 3339 time in UTC; empty if malformed.
std::optional<instant> parseTime(std::string_view Text);
/// Formats as RFC 3339 in UTC with milliseconds.
std::string formatTime(instant Time);

} // namespace chivebeam
