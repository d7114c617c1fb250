#include "wire/usage_wire.h"

#include <algorithm>

namespace chivebeam {

namespace {

constexpr std::int32_t MaxTokens = 1'000'000;
constexpr microseconds MaxRetryAfter = std::chrono::minutes(1);

unsigned toTokens(std::int32_t Number) {
  return static_cast<unsigned>(std::clamp(Number, 0, MaxTokens));
}

std::int32_t toNumber(unsigned Tokens) {
  return static_cast<std::int32_t>(
      std::min(Tokens, static_cast<unsigned>(MaxTokens)));
}

} // namespace

std::vector<wire::usage_ask> toWire(const std::vector<usage_ask> &Asks) {
  std::vector<wire::usage_ask> Out(Asks.size());
  for (std::size_t Index = 0; Index < Asks.size(); ++Index) {
    const usage_ask &Ask = Asks[Index];
    Out[Index].workspace = Ask.Workspace.str();
    Out[Index].waiting = toNumber(Ask.Waiting);
    Out[Index].ahead = toNumber(Ask.Ahead);
    Out[Index].unspent = toNumber(Ask.Unspent);
    Out[Index].returned = toNumber(Ask.Returned);
  }
  return Out;
}

std::vector<wire::usage_grant> toWire(const std::vector<usage_grant> &Grants) {
  std::vector<wire::usage_grant> Out(Grants.size());
  for (std::size_t Index = 0; Index < Grants.size(); ++Index) {
    Out[Index].workspace = Grants[Index].Workspace.str();
    Out[Index].tokens = toNumber(Grants[Index].Tokens);
    Out[Index].retry_after_us = Grants[Index].RetryAfter.count();
  }
  return Out;
}

std::vector<usage_ask> fromWire(const std::vector<wire::usage_ask> &In) {
  std::vector<usage_ask> Asks;
  Asks.reserve(In.size());
  for (const wire::usage_ask &Ask : In)
    Asks.push_back({workspace_name(Ask.workspace), toTokens(Ask.waiting),
                    toTokens(Ask.ahead), toTokens(Ask.unspent),
                    toTokens(Ask.returned)});
  return Asks;
}

std::vector<usage_grant> fromWire(const std::vector<wire::usage_grant> &In) {
  std::vector<usage_grant> Grants;
  Grants.reserve(In.size());
  for (const wire::usage_grant &Grant : In)
    Grants.push_back({workspace_name(Grant.workspace), toTokens(Grant.tokens),
                      std::clamp(microseconds(Grant.retry_after_us),
                                 microseconds(0), MaxRetryAfter)});
  return Grants;
}

} // namespace chivebeam
