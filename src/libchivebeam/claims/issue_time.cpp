#include "claims/issue_time.h"

#include <charconv>
#include <string>

namespace chivebeam {

namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::size_t VersionIndex = 14;
constexpr std::string_view UuidPattern = "xxxxxxxx-xxxx-xxxx-xxxx-xxxxxxxxxxxx";
/// Maximum clock difference between callers and nodes that is tolerated.
constexpr seconds ClockTolerance{60};

bool isHexDigit(char Letter) {
  return (Letter >= '0' && Letter <= '9') || (Letter >= 'a' && Letter <= 'f') ||
         (Letter >= 'A' && Letter <= 'F');
}

bool isUuid(std::string_view Key) {
  if (Key.size() != UuidLength)
    return false;
  for (std::size_t Index = 0; Index < UuidLength; ++Index)
    if (UuidPattern[Index] == '-' ? Key[Index] != '-' : !isHexDigit(Key[Index]))
      return false;
  return true;
}

} // namespace

std::optional<instant> issueTimeOf(std::string_view Key) {
  if (!isUuid(Key) || Key[VersionIndex] != '7')
    return std::nullopt;
  std::string Digits(Key.substr(0, 8));
  Digits += Key.substr(9, 4);
  std::int64_t Millis = 0;
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Millis, 16);
  return instant(milliseconds(Millis));
}

bool isTooOld(std::string_view Key, instant Now, microseconds Retention) {
  std::optional<instant> Issued = issueTimeOf(Key);
  return Issued && *Issued + Retention - ClockTolerance < Now;
}

} // namespace chivebeam
