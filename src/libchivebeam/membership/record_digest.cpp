#include "membership/record_digest.h"

#include <string>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chivebeam {

namespace {

std::uint64_t hashOf(const std::string &Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace

std::size_t bucketOf(const node_id &Node) {
  return hashOf(Node.str()) % RecordBucketCount;
}

std::uint64_t differingBuckets(const record_buckets &Left,
                               const record_buckets &Right) {
  std::uint64_t Differing = 0;
  for (std::size_t Bucket = 0; Bucket < RecordBucketCount; ++Bucket)
    if (Left[Bucket] != Right[Bucket])
      Differing |= std::uint64_t{1} << Bucket;
  return Differing;
}

bool coversNode(std::uint64_t Buckets, const node_id &Node) {
  return (Buckets >> bucketOf(Node) & 1) != 0;
}

std::uint64_t digestOf(const home_record &Record) {
  std::string Text = Record.Node.str();
  for (std::uint64_t Part :
       {static_cast<std::uint64_t>(Record.Start.StartedAtMs), Record.Report,
        Record.Change})
    Text.append(" ").append(std::to_string(Part));
  return hashOf(Text);
}

std::uint64_t digestOf(const service_move &Move) {
  const move_progress &Progress = Move.Progress;
  std::string Text = Move.Rule.Service.str();
  for (std::uint64_t Part :
       {Move.Order, static_cast<std::uint64_t>(Progress.Phase),
        std::uint64_t{Progress.Step}, std::uint64_t{Progress.Share},
        static_cast<std::uint64_t>(Progress.Recorded)})
    Text.append(" ").append(std::to_string(Part));
  return hashOf(Text);
}

bool digest_comparison::differs(std::uint64_t Own, std::uint64_t OfPeer) {
  bool Differs = Own != OfPeer && Own == LastOwn && OfPeer == LastOfPeer;
  LastOwn = Own;
  LastOfPeer = OfPeer;
  return Differs;
}

} // namespace chivebeam
