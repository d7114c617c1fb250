#include "moves/move_conductor.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "sessions/move_journal.h"

namespace chivebeam {

namespace {

/// How many nodes are sent the evidence of a service in a move.
constexpr std::size_t OwnersTold = 2;

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

move_conductor::move_conductor(node_id SelfNode,
                               const move_decider &MoveDecider)
    : Self(std::move(SelfNode)), Decider(MoveDecider) {}

void move_conductor::offerEvidence(const evidence_report &Report, instant Now) {
  if (auto Found = MoveOf.find(Report.Service); Found != MoveOf.end())
    Watched[Found->second].Tracker.offer(Report, Now);
}

std::vector<const member_record *>
move_conductor::ownersOf(const move_rule &Rule, const member_table &Members) {
  std::vector<const member_record *> Owners;
  for (const auto &[Node, Entry] : Members.entries())
    if (Entry.Record.State == member_state::alive && !Entry.Record.Leaving &&
        Entry.Record.Worker.Service == Rule.Service)
      Owners.push_back(&Entry.Record);
  std::sort(Owners.begin(), Owners.end(),
            [&](const member_record *Left, const member_record *Right) {
              return rankOf(Rule.Id, Left->Node) < rankOf(Rule.Id, Right->Node);
            });
  Owners.resize(std::min(Owners.size(), OwnersTold));
  return Owners;
}

conductor_turn
move_conductor::tick(const snapshot &Config, const member_table &Members,
                     const std::map<move_id, move_progress> &Progress,
                     instant Now) {
  conductor_turn Turn;
  forgetOthers(Config);
  for (const move_rule &Rule : Config.moves()) {
    std::vector<const member_record *> Owners = ownersOf(Rule, Members);
    bool Told = std::any_of(
        Owners.begin(), Owners.end(),
        [&](const member_record *Owner) { return Owner->Node == Self; });
    if (!Told)
      continue;
    MoveOf[Rule.Service] = Rule.Id;
    move_progress Before;
    Before.Id = Rule.Id;
    if (auto Found = Progress.find(Rule.Id); Found != Progress.end())
      Before = Found->second;
    if (Before.Recorded != move_verdict::none)
      continue;
    worker_counts Workers =
        countWorkers(Members, Rule, Config.findService(Rule.Service)->Workers);
    conduct(Rule, Workers, Before, Owners.front()->Node == Self, Now, Turn);
  }
  return Turn;
}

void move_conductor::forgetOthers(const snapshot &Config) {
  auto IsGone = [&](const auto &Item) {
    const move_rule *Rule = Config.findMoveOf(Item.first);
    return !Rule || Rule->Id != Item.second;
  };
  for (const auto &Item : MoveOf)
    if (IsGone(Item))
      Watched.erase(Item.second);
  std::erase_if(MoveOf, IsGone);
}

void move_conductor::conduct(const move_rule &Rule,
                             const worker_counts &Workers,
                             const move_progress &Before, bool IsOwner,
                             instant Now, conductor_turn &Turn) {
  watched_move &Move = Watched[Rule.Id];
  move_observation Seen = Move.Tracker.observe(Rule, Before, Workers, Now);
  if (Before != Move.Seen)
    Move.Journal.add(writeProgressEntry(Before, Now));
  Move.Seen = Before;
  std::optional<move_progress> After =
      Decider.decide(planMove(Rule), Before, Seen, Now);
  bool TakesBack =
      After && After->Phase == move_phase::taken_back && Now < Rule.Deadline;
  if (After && !IsOwner && !TakesBack)
    After.reset();
  if (After) {
    Move.Journal.add(writeJournalEntry({Now, Rule, Before, Seen, *After}));
    Move.Seen = *After;
    Turn.Changed.push_back(*After);
  }
  const move_progress &Latest = After ? *After : Before;
  if (IsOwner && isDecided(Latest))
    Turn.Verdicts.push_back({Rule, Latest, Move.Journal.text()});
}

} // namespace chivebeam
