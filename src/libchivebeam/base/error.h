#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace chivebeam {

enum class error_kind {
  invalid_input,  ///< the input is malformed or not allowed
  not_found,      ///< the named object does not exist
  conflict,       ///< a concurrent change or an existing object conflicts
  unavailable,    ///< no answer; the request had no effect
  unknown_effect, ///< no answer; the request may have taken effect
  over_limit,     ///< a configured limit is reached
};

/// Returns the name that logs use for Kind, such as "invalid_input".
std::string_view toString(error_kind Kind);

/// Describes an error for an operator: what is wrong, where, and how to correct
/// it.
struct error {
  error_kind Kind = error_kind::invalid_input;
  std::string Path;    ///< JSON pointer, store key or address; may be empty
  std::string Message; ///< what is wrong, with the value found
  std::string Remedy;  ///< how to correct it; may be empty

  /// Returns one line: "path: message; remedy".
  std::string text() const;

  friend bool operator==(const error &, const error &) = default;
};

using error_list = std::vector<error>;

/// A value, or the error that prevented it.
template <typename Value> using result = tl::expected<Value, error>;
/// A validated value, or all errors found while validating it.
template <typename Value> using checked = tl::expected<Value, error_list>;

} // namespace chivebeam
