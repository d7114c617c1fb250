#include "base/duplicate_key_check.h"

#include <limits>
#include <set>
#include <string>
#include <vector>

#include <boost/json/basic_parser_impl.hpp>

namespace chivebeam {

namespace json = boost::json;

namespace {

/// Handler for Boost.JSON's event parser. Records the keys of each open object
/// and stops the parser at the first duplicate.
class key_collector {
public:
  constexpr static std::size_t max_object_size =
      std::numeric_limits<std::size_t>::max();
  constexpr static std::size_t max_array_size = max_object_size;
  constexpr static std::size_t max_key_size = 4096;
  constexpr static std::size_t max_string_size = 1 << 20;
  using code = boost::system::error_code;

  std::string Duplicate;

  bool on_document_begin(code &) { return true; }
  bool on_document_end(code &) { return true; }
  bool on_object_begin(code &) {
    OpenObjects.emplace_back();
    return true;
  }
  bool on_object_end(std::size_t, code &) {
    OpenObjects.pop_back();
    return true;
  }
  bool on_array_begin(code &) { return true; }
  bool on_array_end(std::size_t, code &) { return true; }
  bool on_key_part(json::string_view Part, std::size_t, code &) {
    Key.append(Part.data(), Part.size());
    return true;
  }
  bool on_key(json::string_view Part, std::size_t, code &Code) {
    Key.append(Part.data(), Part.size());
    if (!OpenObjects.back().insert(Key).second) {
      Duplicate = Key;
      Code = json::error::syntax;
      return false;
    }
    Key.clear();
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, code &) { return true; }
  bool on_string(json::string_view, std::size_t, code &) { return true; }
  bool on_number_part(json::string_view, code &) { return true; }
  bool on_int64(std::int64_t, json::string_view, code &) { return true; }
  bool on_uint64(std::uint64_t, json::string_view, code &) { return true; }
  bool on_double(double, json::string_view, code &) { return true; }
  bool on_bool(bool, code &) { return true; }
  bool on_null(code &) { return true; }
  bool on_comment_part(json::string_view, code &) { return true; }
  bool on_comment(json::string_view, code &) { return true; }

private:
  std::string Key;
  std::vector<std::set<std::string>> OpenObjects;
};

} // namespace

std::optional<error> findDuplicateKey(std::string_view Text,
                                      std::size_t MaxDepth) {
  json::parse_options Options;
  Options.allow_comments = true;
  Options.max_depth = MaxDepth;
  json::basic_parser<key_collector> Parser(Options);
  boost::system::error_code Code;
  Parser.write_some(false, Text.data(), Text.size(), Code);
  const std::string &Key = Parser.handler().Duplicate;
  if (Key.empty())
    return std::nullopt;
  return error{error_kind::invalid_input, "",
               "the field \"" + Key + "\" stands twice in one object",
               "remove one of them"};
}

} // namespace chivebeam
