#include "membership/member_table.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chivebeam {

namespace {

std::uint64_t hashOf(const std::string &Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

/// Hash of the node id and of the fields that supersedes() compares, without
/// the relay port. A digest is the sum of these hashes.
std::uint64_t hashOf(const member_record &Record) {
  std::uint64_t Seed =
      Record.Incarnation.value() * 4 + static_cast<std::uint64_t>(Record.State);
  Seed = hashOf(Record.Node.str(), Seed);
  return hashOf(Record.Peer.Ip, Seed + Record.Peer.Port);
}

} // namespace

void member_table::updateDigest(const entry &Entry, bool Add) {
  std::uint64_t Hash = hashOf(Entry.Record);
  auto Short = static_cast<std::uint32_t>(Hash);
  Digest += Add ? Hash : 0 - Hash;
  BucketDigests[Entry.Bucket] += Add ? Short : 0 - Short;
}

void member_table::include(entry &Entry) {
  if (Entry.Record.State == member_state::dead) {
    Dead.insert(Entry.Record.Node);
    return;
  }
  if (Entry.Record.State == member_state::suspect)
    Suspects.insert(Entry.Record.Node);
  Entry.LiveIndex = Live.size();
  Live.push_back(&Entry);
  updateDigest(Entry, true);
}

void member_table::exclude(entry &Entry) {
  if (Entry.Record.State == member_state::dead) {
    Dead.erase(Entry.Record.Node);
    return;
  }
  Suspects.erase(Entry.Record.Node);
  updateDigest(Entry, false);
  const entry *Last = Live.back();
  Live[Entry.LiveIndex] = Last;
  Entries.at(Last->Record.Node).LiveIndex = Entry.LiveIndex;
  Live.pop_back();
}

bool member_table::merge(const member_record &Record, instant Now) {
  auto [Position, Inserted] = Entries.try_emplace(Record.Node);
  entry &Entry = Position->second;
  if (!Inserted && !supersedes(Record, Entry.Record))
    return false;
  if (Inserted) {
    Entry.Bucket = hashOf(Record.Node.str(), 0) % BucketCount;
    Buckets[Entry.Bucket].push_back(&Entry);
  } else {
    exclude(Entry);
  }
  if (Inserted || changesRouting(Record, Entry.Record))
    ++RoutingRevision;
  Entry.Record = Record;
  Entry.ChangedAt = Now;
  include(Entry);
  return true;
}

const member_record *member_table::find(const node_id &Node) const {
  auto Found = Entries.find(Node);
  return Found == Entries.end() ? nullptr : &Found->second.Record;
}

std::vector<member_record> member_table::records() const {
  std::vector<member_record> Records;
  Records.reserve(Entries.size());
  for (const auto &[Node, Entry] : Entries)
    Records.push_back(Entry.Record);
  return Records;
}

void member_table::removeDead(instant Before) {
  std::erase_if(Dead, [&](const node_id &Node) {
    auto Found = Entries.find(Node);
    if (Found->second.ChangedAt >= Before)
      return false;
    std::erase(Buckets[Found->second.Bucket], &Found->second);
    Entries.erase(Found);
    return true;
  });
}

} // namespace chivebeam
