#pragma once

#include <optional>

#include <boost/json.hpp>

#include "store/config_store.h"

namespace chivebeam {

// The functions below convert store messages to and from the JSON of the etcd
// v3 gateway: keys and values in base64, numbers as strings. All are thread
// safe.

/// Returns the end of the key range that holds all keys with the prefix.
std::string prefixEnd(std::string Prefix);
boost::json::object rangeToJson(const std::string &Key, bool IsPrefix);
/// Returns the first key after Key; empty if Key is empty.
std::string keyAfter(const std::string &Key);
boost::json::object pageToJson(const std::string &Prefix,
                               const std::string &After, unsigned Limit);
boost::json::object transactionToJson(const store_transaction &Transaction);
boost::json::object watchToJson(const std::string &Prefix, store_revision From);
/// Reads a number that the gateway writes as a string; zero if absent.
std::uint64_t numberField(const boost::json::object &Object,
                          std::string_view Key);
std::optional<store_entry> entryFromJson(const boost::json::value &Value);
result<range_answer> rangeFromJson(const boost::json::object &Answer);
std::vector<watch_event> eventsFromJson(const boost::json::object &Result);

} // namespace chivebeam
