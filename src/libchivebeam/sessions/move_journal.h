#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "moves/move_decider.h"

namespace chivebeam {

/// One decision of a move with all its inputs.
struct move_journal_entry {
  instant At;
  move_rule Rule;
  move_progress Before;
  move_observation Observation;
  move_progress After;
};

/// Writes an entry as one line of JSON, without a newline.
std::string writeJournalEntry(const move_journal_entry &Entry);
checked<move_journal_entry> readJournalEntry(std::string_view Line);

/// Writes progress that another node decided as one line of JSON. readTimeline
/// uses such lines; replayJournal ignores them.
std::string writeProgressEntry(const move_progress &Progress, instant SeenAt);

/// One point of the timeline of a move.
struct timeline_point {
  instant At;
  unsigned Step = 0;
  unsigned Share = 0; ///< parts of FullShare
  move_phase Phase = move_phase::stepping;
  std::string Reason;
};

/// Reads the timeline of shares from a journal, the earliest point first.
/// Lines that can't be parsed are skipped.
std::vector<timeline_point> readTimeline(std::string_view Text);

/// A recorded step that is decided differently now.
struct replay_difference {
  std::size_t Line = 0; ///< line number, starting at 1
  std::string Recorded; ///< JSON of the recorded outcome
  std::string Decided;  ///< JSON of the outcome that the current code decides
  std::string Inputs;   ///< JSON of the recorded observation
};

/// Result of replayJournal.
struct replay_report {
  std::size_t Steps = 0;
  std::size_t DroppedLines = 0; ///< dropped to limit the size of the journal
  std::vector<replay_difference> Differences;
};

/// Decides every recorded step again and reports those with a different
/// outcome. Lines of other kinds are ignored. Thread safe.
checked<replay_report> replayJournal(std::string_view Text,
                                     const move_decider &Decider);

} // namespace chivebeam
