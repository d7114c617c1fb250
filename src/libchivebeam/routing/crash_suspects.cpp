#include "routing/crash_suspects.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// A call that ran at the end of so many servers is refused.
constexpr std::size_t EndsToRefuse = 3;
/// A call that ran at the end of so many servers is not sent to another one
/// within the same request.
constexpr std::size_t EndsToStopRetries = 2;
/// Time from the last end for which a call is refused. Then it may run once
/// more: a further end refuses it again.
constexpr std::chrono::minutes QuarantineTime{10};
constexpr std::chrono::minutes KeepTime{30};
/// All events together fit into one message between nodes.
constexpr std::size_t MaxSuspects = 512;
constexpr std::size_t MaxEnds = 12;
/// Servers that end within this time end together.
constexpr milliseconds TogetherTime{1'000};
/// An answer shows for this time that a call doesn't crash servers.
constexpr std::chrono::minutes MaxAnswerAge{10};
/// An answer that is later by less than this is the same one: its time differs
/// a little between nodes.
constexpr milliseconds MinAnswerInterval{100};

} // namespace

bool crash_suspects::wasAnswered(const suspect &Suspect, instant Before) {
  return Suspect.AnsweredAt != instant() &&
         Before < Suspect.AnsweredAt + MaxAnswerAge;
}

std::size_t crash_suspects::countEnds(const suspect &Suspect) {
  std::vector<instant> Times;
  for (const server_end &End : Suspect.Ends)
    if (End.At > Suspect.AnsweredAt)
      Times.push_back(End.At);
  std::sort(Times.begin(), Times.end());
  if (Times.empty() || !wasAnswered(Suspect, Times.front()))
    return Times.size();
  std::size_t Count = 0;
  instant FirstOfGroup;
  for (instant At : Times)
    if (Count == 0 || At >= FirstOfGroup + TogetherTime) {
      ++Count;
      FirstOfGroup = At;
    }
  return Count;
}

instant crash_suspects::lastEventOf(const suspect &Suspect) {
  instant Last = Suspect.AnsweredAt;
  for (const server_end &End : Suspect.Ends)
    Last = std::max(Last, End.At);
  return Last;
}

std::size_t crash_suspects::endsOf(call_fingerprint Fingerprint) const {
  auto Found = Suspects.find(Fingerprint);
  return Found == Suspects.end() ? 0 : countEnds(Found->second);
}

void crash_suspects::removeOutdated(instant Now) {
  std::erase_if(Suspects, [&](const auto &Item) {
    return Now >= lastEventOf(Item.second) + KeepTime;
  });
}

bool crash_suspects::makeRoom() {
  if (Suspects.size() < MaxSuspects)
    return true;
  auto Oldest = Suspects.end();
  for (auto Item = Suspects.begin(); Item != Suspects.end(); ++Item)
    if (countEnds(Item->second) < EndsToRefuse &&
        (Oldest == Suspects.end() ||
         lastEventOf(Item->second) < lastEventOf(Oldest->second)))
      Oldest = Item;
  if (Oldest == Suspects.end())
    return false;
  Suspects.erase(Oldest);
  return true;
}

bool crash_suspects::applyEnd(suspect &Suspect, const server_end &End) {
  bool IsKnown = std::any_of(
      Suspect.Ends.begin(), Suspect.Ends.end(),
      [&](const server_end &Known) { return Known.Start == End.Start; });
  if (IsKnown)
    return false;
  if (Suspect.Ends.size() >= MaxEnds) {
    // Ends that count once must not displace the others.
    bool CountsAlready =
        wasAnswered(Suspect, End.At) &&
        std::any_of(Suspect.Ends.begin(), Suspect.Ends.end(),
                    [&](const server_end &Known) {
                      return End.At < Known.At + TogetherTime &&
                             Known.At < End.At + TogetherTime;
                    });
    if (CountsAlready)
      return false;
    auto Oldest = std::min_element(
        Suspect.Ends.begin(), Suspect.Ends.end(),
        [](const server_end &A, const server_end &B) { return A.At < B.At; });
    if (End.At <= Oldest->At)
      return false;
    Suspect.Ends.erase(Oldest);
  }
  Suspect.Ends.push_back(End);
  return true;
}

bool crash_suspects::applyAnswer(suspect &Suspect, instant At) {
  bool Clears = std::any_of(
      Suspect.Ends.begin(), Suspect.Ends.end(), [&](const server_end &End) {
        return End.At > Suspect.AnsweredAt && End.At <= At;
      });
  if (!Clears && At <= Suspect.AnsweredAt + MinAnswerInterval)
    return false;
  Suspect.AnsweredAt = At;
  return true;
}

bool crash_suspects::apply(const suspect_event &Event, instant Now) {
  instant At = std::min(Event.At, Now);
  if (Event.Fingerprint.value() == 0 || Now >= At + KeepTime)
    return false;
  removeOutdated(Now);
  if (!Suspects.contains(Event.Fingerprint) && !makeRoom())
    return false;
  suspect &Suspect = Suspects[Event.Fingerprint];
  return Event.Start.Worker.empty() ? applyAnswer(Suspect, At)
                                    : applyEnd(Suspect, {Event.Start, At});
}

bool crash_suspects::isSuspect(call_fingerprint Fingerprint) const {
  return endsOf(Fingerprint) > 0;
}

bool crash_suspects::mayRetry(call_fingerprint Fingerprint) const {
  return endsOf(Fingerprint) < EndsToStopRetries;
}

microseconds crash_suspects::refusedFor(call_fingerprint Fingerprint,
                                        instant Now) const {
  auto Found = Suspects.find(Fingerprint);
  if (Found == Suspects.end() || countEnds(Found->second) < EndsToRefuse)
    return microseconds(0);
  return std::max<microseconds>(
      lastEventOf(Found->second) + QuarantineTime - Now, microseconds(0));
}

std::vector<suspect_event> crash_suspects::events(instant Now) const {
  std::vector<suspect_event> Events;
  auto Add = [&](const suspect_event &Event) {
    if (Now < Event.At + KeepTime)
      Events.push_back(Event);
  };
  for (const auto &[Fingerprint, Suspect] : Suspects) {
    for (const server_end &End : Suspect.Ends)
      Add({Fingerprint, End.Start, End.At});
    if (Suspect.AnsweredAt != instant())
      Add({Fingerprint, {}, Suspect.AnsweredAt});
  }
  return Events;
}

} // namespace chivebeam
