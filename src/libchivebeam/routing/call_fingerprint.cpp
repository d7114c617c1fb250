#include "routing/call_fingerprint.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chivebeam {

namespace {

constexpr std::size_t HexDigits = 16;
constexpr int HexBase = 16;

} // namespace

call_fingerprint fingerprintOf(std::string_view Method, std::string_view Host,
                               std::string_view Target, std::string_view Body) {
  std::uint64_t Hash = 0;
  // The hash of one part is the seed of the next, so that no two calls are
  // equal that only split the same bytes differently.
  for (std::string_view Part : {Method, Host, Target, Body})
    Hash = XXH3_64bits_withSeed(Part.data(), Part.size(), Hash);
  return call_fingerprint(std::max<std::uint64_t>(Hash, 1));
}

std::string toHex(call_fingerprint Fingerprint) {
  std::array<char, HexDigits> Digits{};
  auto [End, Code] = std::to_chars(Digits.data(), Digits.data() + Digits.size(),
                                   Fingerprint.value(), HexBase);
  std::string Text(Digits.data(), End);
  return std::string(HexDigits - Text.size(), '0') + Text;
}

} // namespace chivebeam
