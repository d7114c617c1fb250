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

/// Parses JSON that may contain comments. Duplicate keys and nesting deeper
/// than 32 levels are errors.
checked<boost::json::value> parseJson(std::string_view Text);

/// Reads and validates the fields of one JSON object. Missing fields, wrong
/// types, numbers out of range and unknown fields are appended to an error
/// list, each with its JSON pointer and a remedy; reading then continues with a
/// default value, so that one pass reports every error. Not thread safe.
class object_reader {
public:
  /// \param Path JSON pointer of Value, used in errors.
  /// \pre Value and Errors outlive the reader.
  object_reader(const boost::json::value &Value, std::string Path,
                error_list &Errors);

  /// Reads a required string. An empty string is an error.
  std::string text(std::string_view Key);
  /// Reads an optional string. An empty string is an error.
  std::string textOr(std::string_view Key, std::string Default);
  /// Reads a whole number from Low to High, both included. The field is
  /// required if there is no Default. Returns Low after an error.
  std::int64_t integer(std::string_view Key, std::int64_t Low,
                       std::int64_t High,
                       std::optional<std::int64_t> Default = {});
  /// Reads an optional boolean.
  bool flagOr(std::string_view Key, bool Default);
  /// Reads a required RFC 3339 time in UTC, such as "2026-12-04T18:30:00Z".
  instant time(std::string_view Key);
  /// Calls Visit(element, path) for each element of an array. A missing array
  /// is an error only if Required.
  void forEach(std::string_view Key, bool Required,
               const std::function<void(const boost::json::value &,
                                        std::string)> &Visit);
  /// Returns the value of Key, or null if it is missing. Key counts as known
  /// afterwards, see finish().
  const boost::json::value *find(std::string_view Key);

  /// Appends an error for each field of the object that was never read.
  void finish();

  /// Returns the JSON pointer of Key.
  std::string pathOf(std::string_view Key) const;
  /// Appends an error for the field Key.
  void fail(std::string_view Key, std::string Message, std::string Remedy);

private:
  const boost::json::object *Object = nullptr; ///< null: Value is no object
  std::string Path;
  error_list &Errors;
  std::set<std::string, std::less<>> ReadKeys;
};

/// Parses an RFC 3339 time in UTC with an optional fraction of exactly three
/// digits. Returns nothing if Text is malformed.
std::optional<instant> parseTime(std::string_view Text);
/// Formats Time as RFC 3339 in UTC with milliseconds; finer digits are cut off.
std::string formatTime(instant Time);

} // namespace chivebeam
