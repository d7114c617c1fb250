#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <ostream>

namespace chivebeam {

/// Wall-clock time. The decision code in this library takes it as an argument
/// and never reads a clock, so that its results are reproducible.
using instant = std::chrono::sys_time<std::chrono::microseconds>;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Strongly typed unsigned number. Numbers with different tags don't convert
/// into each other.
template <typename Tag> class basic_number {
public:
  constexpr basic_number() = default;
  constexpr explicit basic_number(std::uint64_t Initial) : Raw(Initial) {}

  constexpr std::uint64_t value() const { return Raw; }
  constexpr basic_number next() const { return basic_number(Raw + 1); }

  friend constexpr auto operator<=>(const basic_number &,
                                    const basic_number &) = default;
  friend std::ostream &operator<<(std::ostream &Out, basic_number Number) {
    return Out << Number.Raw;
  }

private:
  std::uint64_t Raw = 0;
};

/// Number of a published configuration; each publication increments it.
using config_number = basic_number<struct config_number_tag>;
/// Incremented by a node to refute reports about it that are wrong or outdated.
using incarnation = basic_number<struct incarnation_tag>;
/// Counts how often the platform's store came back from an older copy. Its
/// revisions are comparable only within one era.
using store_era = basic_number<struct store_era_tag>;
/// Revision of the platform's store; each change of the store increments it.
using store_revision = basic_number<struct store_revision_tag>;
/// Hash of a compiled configuration; equal on all nodes that hold the same one.
using config_digest = basic_number<struct config_digest_tag>;

} // namespace chivebeam
