#include "store/publisher.h"

#include <algorithm>

#include "config/compiler.h"
#include "config/publish_check.h"
#include "store/verdict_record.h"

namespace chivebeam {

namespace {

/// The store limits a value to one megabyte.
constexpr std::size_t MaxValueBytes = 1'000'000;
constexpr int CommitAttempts = 5;
constexpr int ReadAttempts = 5;

publish_report failedReport(error Problem, publish_outcome Outcome) {
  publish_report Report;
  Report.Outcome = Outcome;
  Report.Problems.push_back(std::move(Problem));
  return Report;
}

error unreadableValue(const std::string &Key, const error &Cause) {
  return {error_kind::invalid_input, Key,
          "the stored value can't be decoded: " + Cause.text(),
          "inspect it with chivebeam history; install the chivebeam version "
          "that published it, or restore the key"};
}

} // namespace

awaitable<result<publisher::newest_config>> publisher::readNewest() {
  result<range_answer> Head = co_await Store.range(Keys.head(), false);
  if (!Head)
    co_return tl::unexpected(Head.error());
  newest_config Newest;
  if (Head->Entries.empty())
    co_return Newest;
  Newest.HeadModifiedAt = Head->Entries.front().ModifiedAt;
  checked<head_record> Record = readHead(Head->Entries.front().Value);
  if (!Record)
    co_return tl::unexpected(
        unreadableValue(Keys.head(), Record.error().front()));
  std::string Key = Keys.source(Record->Number);
  result<range_answer> Stored = co_await Store.range(Key, false);
  if (!Stored)
    co_return tl::unexpected(Stored.error());
  Newest.Source.Number = Record->Number;
  Newest.Source.Id = Record->Id;
  if (Stored->Entries.empty())
    co_return Newest;
  checked<config_source> Source = readSource(Stored->Entries.front().Value);
  if (!Source)
    co_return tl::unexpected(unreadableValue(Key, Source.error().front()));
  Newest.Source = std::move(*Source);
  co_return Newest;
}

awaitable<result<error_list>>
publisher::findConflicts(const publish_request &Request,
                         const newest_config &Newest) {
  checked<snapshot_ptr> Old = compile(Newest.Source);
  if (!Old || Request.MayDropMoves)
    co_return error_list{};
  result<range_answer> Stored = co_await Store.range(Keys.verdicts(), true);
  if (!Stored)
    co_return tl::unexpected(Stored.error());
  verdict_map Verdicts;
  for (const store_entry &Entry : Stored->Entries)
    if (checked<move_progress> Progress = readVerdict(Entry.Value))
      Verdicts[Progress->Id] = Progress->Recorded;
  co_return findMoveConflicts(**Old, *Request.Compiled, Verdicts,
                              Request.Draft.PublishedAt);
}

awaitable<publish_report> publisher::publish(publish_request Request) {
  result<newest_config> Newest = co_await readNewest();
  if (!Newest)
    co_return failedReport(Newest.error(),
                           Newest.error().Kind == error_kind::invalid_input
                               ? publish_outcome::refused
                               : publish_outcome::unavailable);
  publish_report Report;
  Report.Digest = Request.Compiled->digest();
  bool StoreIsNewest = Newest->Source.Number >= Request.FleetNumber;
  checked<snapshot_ptr> Old = compile(Newest->Source);
  if (StoreIsNewest && Old && (*Old)->digest() == Report.Digest) {
    Report.Outcome = publish_outcome::unchanged;
    Report.Source = std::move(Newest->Source);
    co_return Report;
  }
  result<error_list> Conflicts = co_await findConflicts(Request, *Newest);
  if (!Conflicts)
    co_return failedReport(Conflicts.error(), publish_outcome::unavailable);
  Report.Source = std::move(Request.Draft);
  Report.Source.Number =
      std::max(Newest->Source.Number, Request.FleetNumber).next();
  Report.Problems = std::move(*Conflicts);
  std::size_t Size = writeSource(Report.Source).size();
  if (Size > MaxValueBytes)
    Report.Problems.push_back({error_kind::over_limit, "register and rules",
                               "are " + std::to_string(Size) +
                                   " bytes together, and a value in the "
                                   "store is limited to " +
                                   std::to_string(MaxValueBytes),
                               "shorten the register or the rules"});
  Report.Outcome = publish_outcome::refused;
  if (!Report.Problems.empty())
    co_return Report;
  co_await commit(Report, Newest->HeadModifiedAt);
  co_return Report;
}

awaitable<void> publisher::commit(publish_report &Report,
                                  store_revision HeadModifiedAt) {
  const config_source &Source = Report.Source;
  std::string Key = Keys.source(Source.Number);
  store_transaction Transaction;
  Transaction.Conditions.push_back({Keys.head(), HeadModifiedAt});
  Transaction.Conditions.push_back({Key, store_revision()});
  Transaction.Puts.push_back(
      {Keys.head(), writeHead({Source.Number, Source.Id}), lease_id()});
  Transaction.Puts.push_back({Key, writeSource(Source), lease_id()});
  Report.Outcome = publish_outcome::unavailable;
  for (int Attempt = 0; Attempt < CommitAttempts; ++Attempt) {
    result<transaction_answer> Done = co_await Store.commit(Transaction);
    if (Done && Done->Succeeded) {
      Report.Outcome = publish_outcome::done;
      co_return;
    }
    if (Done) {
      co_await resolveRefusedCommit(Report);
      co_return;
    }
    Report.Problems = {Done.error()};
    if (Done.error().Kind == error_kind::unknown_effect)
      Report.Outcome = publish_outcome::unknown;
  }
}

awaitable<void> publisher::resolveRefusedCommit(publish_report &Report) {
  for (int Attempt = 0; Attempt < ReadAttempts; ++Attempt) {
    result<range_answer> Stored =
        co_await Store.range(Keys.source(Report.Source.Number), false);
    if (!Stored) {
      Report.Problems = {Stored.error()};
      continue;
    }
    if (!Stored->Entries.empty()) {
      checked<config_source> Found = readSource(Stored->Entries.front().Value);
      if (Found && Found->Id == Report.Source.Id) {
        Report.Outcome = publish_outcome::done;
        Report.Problems.clear();
        co_return;
      }
    }
    Report.Outcome = publish_outcome::lost_race;
    if (result<newest_config> Winner = co_await readNewest())
      Report.Source = std::move(Winner->Source);
    co_return;
  }
  Report.Outcome = publish_outcome::unknown;
}

} // namespace chivebeam
