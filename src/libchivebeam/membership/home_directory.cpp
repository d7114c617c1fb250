#include "membership/home_directory.h"

namespace chivebeam {

bool home_directory::offer(const home_record &Record, instant Now) {
  auto Found = Entries.find(Record.Node);
  if (Found == Entries.end()) {
    // Without a record there is nothing that this one could remove, and a node
    // without a backend server or role matters to no other node.
    if (Record.Gone || !mattersToOthers(Record))
      return false;
    entry &Entry = Entries[Record.Node];
    Entry.LastAnswerAt = Now;
    Entry.Record = Record;
    count(Record, true);
    return true;
  }
  entry &Entry = Found->second;
  if (!isNewer(Record, Entry.Record))
    return false;
  if (Record.Gone)
    Entry.GoneAt = Now;
  else if (Entry.Record.Gone)
    Entry.LastAnswerAt = Now;
  replace(Entry, Record);
  return true;
}

void home_directory::replace(entry &Entry, const home_record &Record) {
  count(Entry.Record, false);
  Entry.Record = Record;
  count(Record, true);
}

void home_directory::count(const home_record &Record, bool Added) {
  if (Record.Gone)
    return;
  Buckets[bucketOf(Record.Node)] ^= digestOf(Record);
  LiveNodes += Added ? 1 : std::size_t(-1);
}

std::uint64_t home_directory::digest() const {
  std::uint64_t Digest = 0;
  for (std::uint64_t Bucket : Buckets)
    Digest ^= Bucket;
  return Digest;
}

void home_directory::nodeAnswered(const node_id &Node, instant Now) {
  auto Found = Entries.find(Node);
  if (Found != Entries.end())
    Found->second.LastAnswerAt = Now;
}

std::vector<node_id> home_directory::silentNodes(const record_filter &Filter,
                                                 instant Now) const {
  std::vector<node_id> Nodes;
  for (const auto &[Node, Entry] : Entries)
    if (!Entry.Record.Gone && Filter(Entry.Record) &&
        Now >= Entry.LastAnswerAt + SilenceBeforeCheck)
      Nodes.push_back(Node);
  return Nodes;
}

std::vector<home_record> home_directory::markGone(const record_filter &Filter,
                                                  instant Now) {
  std::vector<entry *> Silent;
  std::size_t Selected = 0;
  std::size_t Heard = 0;
  for (auto &[Node, Entry] : Entries) {
    if (Entry.Record.Gone || !Filter(Entry.Record))
      continue;
    ++Selected;
    Heard += Now < Entry.LastAnswerAt + SilenceBeforeCheck ? 1 : 0;
    if (Now >= Entry.LastAnswerAt + SilenceLimit)
      Silent.push_back(&Entry);
  }
  std::vector<home_record> Gone;
  if (Heard * 2 <= Selected)
    return Gone;
  for (entry *Entry : Silent) {
    home_record Record = Entry->Record;
    Record.Gone = true;
    Entry->GoneAt = Now;
    replace(*Entry, Record);
    Gone.push_back(std::move(Record));
  }
  return Gone;
}

void home_directory::expire(instant Now) {
  std::erase_if(Entries, [&](const auto &Item) {
    const entry &Entry = Item.second;
    return Entry.Record.Gone && Now >= Entry.GoneAt + TombstoneTime;
  });
}

const home_record *home_directory::find(const node_id &Node) const {
  auto Found = Entries.find(Node);
  return Found == Entries.end() ? nullptr : &Found->second.Record;
}

std::vector<home_record> home_directory::records() const {
  std::vector<home_record> Records;
  Records.reserve(LiveNodes);
  for (const auto &[Node, Entry] : Entries)
    if (!Entry.Record.Gone)
      Records.push_back(Entry.Record);
  return Records;
}

std::vector<home_record> home_directory::recordsWithGone() const {
  std::vector<home_record> Records;
  Records.reserve(Entries.size());
  for (const auto &[Node, Entry] : Entries)
    Records.push_back(Entry.Record);
  return Records;
}

} // namespace chivebeam
