#include "limits/usage_bucket.h"

#include <algorithm>
#include <cmath>

#include "limits/usage_timing.h"

namespace chivebeam {

namespace {

constexpr double MicrosPerSecond = 1e6;
/// A node gets at most this part of the tokens ahead, so that they last for the
/// other nodes.
constexpr double AheadDivisor = 8;
/// A node reports returned tokens within this time after they lapsed; until
/// then they stay reserved.
constexpr milliseconds ReturnTime{500};
constexpr milliseconds DropInterval{100};
constexpr milliseconds MinRetryAfter{250};
constexpr milliseconds MaxRetryAfter{5'000};

unsigned wholeTokens(double Tokens) {
  return Tokens < 1 ? 0 : static_cast<unsigned>(Tokens);
}

} // namespace

void usage_bucket::setLimit(double NewPerSecond, double NewDepth, instant Now) {
  fill(Now);
  PerSecond = NewPerSecond;
  Depth = NewDepth;
  fill(Now);
}

void usage_bucket::fill(instant Now) {
  if (Now > FilledAt) {
    double Elapsed = static_cast<double>((Now - FilledAt).count());
    Level += Elapsed * PerSecond / MicrosPerSecond;
    FilledAt = Now;
  }
  Level = std::clamp(Level, 0.0, std::max(Depth - Held, 0.0));
}

void usage_bucket::dropLapsed(instant Now) {
  if (Now < NextDropAt)
    return;
  NextDropAt = Now + DropInterval;
  std::erase_if(Holdings, [&](const auto &Item) {
    bool Lapsed = Item.second.Until <= Now;
    if (Lapsed)
      Held -= Item.second.Tokens;
    return Lapsed;
  });
}

void usage_bucket::settle(const node_id &Node, const usage_ask &Ask) {
  auto Found = Holdings.find(Node);
  if (Found == Holdings.end())
    return;
  unsigned &Tokens = Found->second.Tokens;
  unsigned Returned = std::min(Tokens, Ask.Returned);
  unsigned Unspent = std::min(Tokens - Returned, Ask.Unspent);
  Held -= Tokens - Unspent;
  Level += Returned;
  Tokens = Unspent;
}

microseconds usage_bucket::retryAfter() const {
  if (PerSecond <= 0)
    return MaxRetryAfter;
  auto Missing = microseconds(static_cast<std::int64_t>(
      std::ceil((1 - Level) / PerSecond * MicrosPerSecond)));
  return std::clamp<microseconds>(Missing, MinRetryAfter, MaxRetryAfter);
}

usage_grant usage_bucket::answer(const node_id &Node, const usage_ask &Ask,
                                 instant Now) {
  dropLapsed(Now);
  settle(Node, Ask);
  fill(Now);
  unsigned Spent = std::min(Ask.Waiting, wholeTokens(Level));
  Level -= Spent;
  unsigned Ahead = std::min(Ask.Ahead, wholeTokens(Level / AheadDivisor));
  if (Spent < Ask.Waiting)
    Ahead = 0;
  Level -= Ahead;
  if (Ahead > 0) {
    holding &Holding = Holdings[Node];
    Holding.Tokens += Ahead;
    Holding.Until = Now + TokenLifetime + ReturnTime;
    Held += Ahead;
  }
  return {Ask.Workspace, Spent + Ahead,
          Spent < Ask.Waiting ? retryAfter() : microseconds(0)};
}

} // namespace chivebeam
