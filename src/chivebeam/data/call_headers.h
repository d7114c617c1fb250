#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/units.h"
#include "net/asio_types.h"

namespace chivebeam {

/// Names of the header fields that chivebeam reads and writes.
inline constexpr std::string_view RequestIdField = "X-Request-Id";
inline constexpr std::string_view TimeoutField = "Chivebeam-Timeout-Ms";
inline constexpr std::string_view OutcomeField = "Chivebeam-Outcome";
inline constexpr std::string_view VersionField = "Chivebeam-Version";
inline constexpr std::string_view RouteField = "Chivebeam-Route";
inline constexpr std::string_view ClassField = "Chivebeam-Class";
inline constexpr std::string_view FreeSlotsField = "Chivebeam-Free-Slots";
inline constexpr std::string_view TenantField = "Chivebeam-Tenant";
inline constexpr std::string_view StickyKeyField = "Chivebeam-Sticky-Key";
/// How many chivebeam hops a call chain has passed; a backend server copies it
/// from the call it runs into the calls it makes.
inline constexpr std::string_view DepthField = "Chivebeam-Depth";

/// What is known of a call that chivebeam itself answers.
enum class call_result {
  not_run, ///< no byte of it can have reached a backend server
  unknown, ///< it may have run
  ran,     ///< it ran; its answer can't be given
};

std::string_view toString(call_result Result);

inline beast::string_view toBeast(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Returns a field's value, empty if absent.
template <typename Fields>
std::string fieldOf(const Fields &Message, std::string_view Name) {
  return std::string(Message[toBeast(Name)]);
}

/// Removes the fields that concern one connection only, those that Connection
/// names among them, and those that only chivebeam may set.
void removeHopByHopFields(http::fields &Fields);
/// The same for an answer of a home node, whose chivebeam fields stay.
void removeConnectionFields(http::fields &Fields);

/// An answer of chivebeam's own.
struct problem {
  http::status Status = http::status::service_unavailable;
  call_result Result = call_result::not_run;
  std::string Title;
  std::string Remedy;
  seconds RetryAfter{0}; ///< zero: none is named
};

/// Writes a problem as application/problem+json.
http::response<http::string_body> makeProblem(const problem &Problem,
                                              std::string_view RequestId);

/// Returns the number in a field: the default if it is absent, nothing if it
/// is not a whole number within the bounds.
std::optional<std::int64_t> parseNumber(std::string_view Text,
                                        std::int64_t Default, std::int64_t Max);

} // namespace chivebeam
