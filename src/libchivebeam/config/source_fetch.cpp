#include "config/source_fetch.h"

#include <algorithm>
#include <functional>

namespace chivebeam {

namespace {

constexpr std::size_t MaxHolders = 32;
constexpr milliseconds FirstBackoff{100};
constexpr unsigned MaxBackoffDoublings = 5;
constexpr milliseconds BusyDelay{150};
constexpr unsigned MaxFailures = 6;
/// How long a holder that reached MaxFailures is skipped. Afterwards it is
/// tried again if it still reports its head.
constexpr seconds GiveUpPeriod{30};

} // namespace

std::string_view toString(fetch_outcome Outcome) {
  switch (Outcome) {
  case fetch_outcome::taken:
    return "taken";
  case fetch_outcome::busy:
    return "busy";
  case fetch_outcome::not_used:
    return "not_used";
  case fetch_outcome::mismatched:
    return "mismatched";
  case fetch_outcome::failed:
    return "failed";
  }
  return "failed";
}

bool source_fetch::isGivenUp(const holder &Holder) const {
  return Holder.Failures >= MaxFailures;
}

bool source_fetch::evictLowestHead(config_number Number) {
  if (Holders.size() < MaxHolders)
    return true;
  auto Lowest = std::min_element(
      Holders.begin(), Holders.end(), [](const auto &Left, const auto &Right) {
        return Left.second.Head.Number < Right.second.Head.Number;
      });
  if (Lowest->second.Head.Number >= Number)
    return false;
  Holders.erase(Lowest);
  return true;
}

void source_fetch::headSeen(const config_head &Head, const address &Holder,
                            instant Now) {
  if (Head.Number == config_number() || Holder.Port == 0)
    return;
  auto Found = Holders.find(Holder);
  if (Found == Holders.end()) {
    if (evictLowestHead(Head.Number))
      Holders[Holder] = {Head, 0, instant()};
    return;
  }
  holder &Entry = Found->second;
  bool Retry = isGivenUp(Entry) && Now >= Entry.RetryAt;
  if (Head.Number > Entry.Head.Number || Retry)
    Entry = {Head, 0, instant()};
}

std::optional<fetch_target> source_fetch::next(config_number OwnNumber,
                                               config_number RefusedNumber,
                                               instant Now) {
  std::erase_if(Holders, [&](const auto &Item) {
    return Item.second.Head.Number <= OwnNumber;
  });
  if (InFlight)
    return std::nullopt;
  std::vector<const std::pair<const address, holder> *> Candidates;
  for (const auto &Item : Holders) {
    const holder &Entry = Item.second;
    if (Entry.Head.Number == RefusedNumber || isGivenUp(Entry) ||
        Now < Entry.RetryAt)
      continue;
    if (!Candidates.empty()) {
      const holder &First = Candidates.front()->second;
      bool Better = Entry.Head.Number > First.Head.Number ||
                    (Entry.Head.Number == First.Head.Number &&
                     Entry.Failures < First.Failures);
      bool Equal = Entry.Head.Number == First.Head.Number &&
                   Entry.Failures == First.Failures;
      if (Better)
        Candidates.clear();
      else if (!Equal)
        continue;
    }
    Candidates.push_back(&Item);
  }
  if (Candidates.empty())
    return std::nullopt;
  InFlight = true;
  const auto *Chosen = Candidates[Random.below(Candidates.size())];
  return fetch_target{Chosen->first, Chosen->second.Head};
}

microseconds source_fetch::jittered(microseconds Base) {
  double Factor = 0.5 + Random.unit();
  return microseconds(
      static_cast<std::int64_t>(static_cast<double>(Base.count()) * Factor));
}

void source_fetch::finished(const fetch_target &Target, fetch_outcome Outcome,
                            instant Now) {
  InFlight = false;
  auto Found = Holders.find(Target.Holder);
  if (Found == Holders.end() || Outcome == fetch_outcome::taken)
    return;
  holder &Entry = Found->second;
  if (Outcome == fetch_outcome::busy) {
    Entry.RetryAt = Now + jittered(BusyDelay);
    return;
  }
  if (Entry.Head.Number > Target.Head.Number)
    return;
  unsigned Doublings = std::min(Entry.Failures, MaxBackoffDoublings);
  ++Entry.Failures;
  Entry.RetryAt = isGivenUp(Entry)
                      ? Now + GiveUpPeriod
                      : Now + jittered(FirstBackoff * (1 << Doublings));
}

bool source_fetch::confirmMismatch(const config_source &Source,
                                   const address &Holder) {
  std::size_t Hash = std::hash<std::string>()(writeSource(Source));
  if (Mismatch && Mismatch->Number == Source.Number &&
      Mismatch->ContentHash == Hash && Mismatch->Holder != Holder)
    return true;
  Mismatch = {Source.Number, Hash, Holder};
  return false;
}

} // namespace chivebeam
