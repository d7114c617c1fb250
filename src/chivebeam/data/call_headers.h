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
/// Number of chivebeam hops that a chain of calls has passed. A backend server
/// copies it from the call that it runs into the calls that it makes.
inline constexpr std::string_view DepthField = "Chivebeam-Depth";

/// Whether a call that chivebeam itself answers has run.
enum class call_result {
  not_run, ///< no byte of the call reached a backend server
  unknown, ///< the call may have run
  ran,     ///< the call ran, but its answer is not available
};

std::string_view toString(call_result Result);

inline beast::string_view toBeast(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Returns the value of a field; empty if the field is absent.
template <typename Fields>
std::string fieldOf(const Fields &Message, std::string_view Name) {
  return std::string(Message[toBeast(Name)]);
}

/// Removes the hop-by-hop fields, including those that Connection lists, and
/// the fields that only chivebeam may set.
void removeHopByHopFields(http::fields &Fields);
/// Removes only the hop-by-hop fields. Used for messages between nodes, whose
/// chivebeam fields are still needed.
void removeConnectionFields(http::fields &Fields);

/// An error answer that chivebeam itself sends to the caller.
struct problem {
  http::status Status = http::status::service_unavailable;
  call_result Result = call_result::not_run;
  std::string Title;
  std::string Remedy;
  seconds RetryAfter{0}; ///< zero: no Retry-After field
};

/// Builds an application/problem+json response from a problem.
http::response<http::string_body> makeProblem(const problem &Problem,
                                              std::string_view RequestId);

/// Returns the number in a field's value: Default if the value is empty,
/// nothing if it is not a whole number from 0 to Max.
std::optional<std::int64_t> parseNumber(std::string_view Text,
                                        std::int64_t Default, std::int64_t Max);

} // namespace chivebeam
