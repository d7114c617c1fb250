#include "moves/move_coordinator.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "sessions/move_journal.h"

namespace chivebeam {

namespace {

/// Number of nodes that receive the evidence of a service in a move: the owner
/// and one backup.
constexpr std::size_t MaxReportReceivers = 2;

std::uint64_t rankOf(const move_id &Move, const node_id &Node) {
  return XXH3_64bits_withSeed(
      Node.str().data(), Node.str().size(),
      XXH3_64bits(Move.str().data(), Move.str().size()));
}

bool isReady(const member_record &Record, const service_name &Service) {
  return Record.State != member_state::dead && !Record.Leaving &&
         Record.Worker.State == worker_state::ready &&
         Record.Worker.Service == Service;
}

worker_counts countWorkers(const member_table &Members, const move_rule &Rule,
                           unsigned Wanted) {
  worker_counts Count;
  Count.Wanted = Wanted;
  for (const auto &[Node, Entry] : Members.entries()) {
    const worker_record &Worker = Entry.Record.Worker;
    if (!isReady(Entry.Record, Rule.Service))
      continue;
    if (Worker.Version == Rule.From) {
      ++Count.Old;
    } else if (Worker.Version == Rule.To) {
      ++Count.New;
      Count.NewSlots += Worker.Slots;
    }
  }
  return Count;
}

bool isDecided(const move_progress &Progress) {
  return Progress.Phase != move_phase::stepping &&
         Progress.Recorded == move_verdict::none;
}

} // namespace

move_coordinator::move_coordinator(node_id SelfNode,
                                   const move_decider &MoveDecider)
    : Self(std::move(SelfNode)), Decider(MoveDecider) {}

void move_coordinator::addEvidence(const evidence_report &Report, instant Now) {
  if (auto Found = MoveByService.find(Report.Service);
      Found != MoveByService.end())
    Tracked[Found->second].Tracker.addReport(Report, Now);
}

std::vector<const member_record *>
move_coordinator::reportReceivers(const move_rule &Rule,
                                  const member_table &Members) {
  std::vector<const member_record *> Receivers;
  for (const auto &[Node, Entry] : Members.entries())
    if (Entry.Record.State == member_state::alive && !Entry.Record.Leaving &&
        Entry.Record.Worker.Service == Rule.Service)
      Receivers.push_back(&Entry.Record);
  std::sort(Receivers.begin(), Receivers.end(),
            [&](const member_record *Left, const member_record *Right) {
              return rankOf(Rule.Id, Left->Node) < rankOf(Rule.Id, Right->Node);
            });
  Receivers.resize(std::min(Receivers.size(), MaxReportReceivers));
  return Receivers;
}

coordinator_result
move_coordinator::tick(const snapshot &Config, const member_table &Members,
                       const std::map<move_id, move_progress> &Progress,
                       instant Now) {
  coordinator_result Result;
  removeStaleMoves(Config);
  for (const move_rule &Rule : Config.moves()) {
    std::vector<const member_record *> Receivers =
        reportReceivers(Rule, Members);
    bool IsReceiver = std::any_of(
        Receivers.begin(), Receivers.end(),
        [&](const member_record *Receiver) { return Receiver->Node == Self; });
    if (!IsReceiver)
      continue;
    MoveByService[Rule.Service] = Rule.Id;
    move_progress Before;
    Before.Id = Rule.Id;
    if (auto Found = Progress.find(Rule.Id); Found != Progress.end())
      Before = Found->second;
    if (Before.Recorded != move_verdict::none)
      continue;
    worker_counts Workers =
        countWorkers(Members, Rule, Config.findService(Rule.Service)->Workers);
    decideMove(Rule, Workers, Before, Receivers.front()->Node == Self, Now,
               Result);
  }
  return Result;
}

void move_coordinator::removeStaleMoves(const snapshot &Config) {
  auto IsStale = [&](const auto &Item) {
    const move_rule *Rule = Config.findMoveOf(Item.first);
    return !Rule || Rule->Id != Item.second;
  };
  for (const auto &Item : MoveByService)
    if (IsStale(Item))
      Tracked.erase(Item.second);
  std::erase_if(MoveByService, IsStale);
}

void move_coordinator::decideMove(const move_rule &Rule,
                                  const worker_counts &Workers,
                                  const move_progress &Before, bool IsOwner,
                                  instant Now, coordinator_result &Result) {
  tracked_move &Move = Tracked[Rule.Id];
  move_observation Observation =
      Move.Tracker.observe(Rule, Before, Workers, Now);
  if (Before != Move.LastJournaled)
    Move.Journal.add(writeProgressEntry(Before, Now));
  Move.LastJournaled = Before;
  std::optional<move_progress> After =
      Decider.decide(planMove(Rule), Before, Observation, Now);
  bool TakesBack =
      After && After->Phase == move_phase::taken_back && Now < Rule.Deadline;
  if (After && !IsOwner && !TakesBack)
    After.reset();
  if (After) {
    Move.Journal.add(
        writeJournalEntry({Now, Rule, Before, Observation, *After}));
    Move.LastJournaled = *After;
    Result.Changed.push_back(*After);
  }
  const move_progress &Latest = After ? *After : Before;
  if (IsOwner && isDecided(Latest))
    Result.Verdicts.push_back({Rule, Latest, Move.Journal.text()});
}

} // namespace chivebeam
