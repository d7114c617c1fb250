#include "membership/home_directory.h"

#include <algorithm>

namespace chivebeam {

bool home_directory::offer(const home_record &Record, bool FromStore) {
  auto [Position, Inserted] = Entries.try_emplace(Record.Node);
  entry &Entry = Position->second;
  bool Restored = FromStore && Entry.RemovedAt.has_value();
  if (FromStore)
    Entry.RemovedAt.reset();
  if (!Inserted && !isNewer(Record, Entry.Record))
    return Restored;
  Entry.Record = Record;
  return true;
}

void home_directory::entryRemoved(const node_id &Node, instant Now) {
  auto Found = Entries.find(Node);
  if (Found != Entries.end() && !Found->second.RemovedAt)
    Found->second.RemovedAt = Now;
}

void home_directory::keepOnly(const std::vector<node_id> &Listed, instant Now) {
  for (auto &[Node, Entry] : Entries)
    if (std::find(Listed.begin(), Listed.end(), Node) == Listed.end() &&
        !Entry.RemovedAt)
      Entry.RemovedAt = Now;
}

void home_directory::nodeAnswered(const node_id &Node, instant Now) {
  auto Found = Entries.find(Node);
  if (Found != Entries.end())
    Found->second.LastAnswerAt = Now;
}

bool home_directory::expire(instant Now) {
  auto IsGone = [&](const auto &Item) {
    const entry &Entry = Item.second;
    return Entry.RemovedAt && Now >= *Entry.RemovedAt + RemovalGrace &&
           Now >= Entry.LastAnswerAt + AnswerLifetime;
  };
  return std::erase_if(Entries, IsGone) > 0;
}

const home_record *home_directory::find(const node_id &Node) const {
  auto Found = Entries.find(Node);
  return Found == Entries.end() ? nullptr : &Found->second.Record;
}

std::vector<home_record> home_directory::records() const {
  std::vector<home_record> Records;
  Records.reserve(Entries.size());
  for (const auto &[Node, Entry] : Entries)
    Records.push_back(Entry.Record);
  return Records;
}

std::vector<node_id> home_directory::nodesInRemovalGrace() const {
  std::vector<node_id> Nodes;
  for (const auto &[Node, Entry] : Entries)
    if (Entry.RemovedAt)
      Nodes.push_back(Node);
  return Nodes;
}

} // namespace chivebeam
