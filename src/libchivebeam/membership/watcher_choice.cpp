#include "membership/watcher_choice.h"

#include <algorithm>
#include <map>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chivebeam {

namespace {

/// Watchers of other failure domains to which a node without a usable watcher
/// in its own domain subscribes.
constexpr std::size_t ForeignWatchers = 2;

/// Rank of a candidate for a node. The highest rank is chosen, so that the
/// choice of a node changes only if its own choice disappears.
std::uint64_t rankOf(const node_id &Node, const watcher_candidate &Candidate) {
  std::string Text = Node.str() + " " + Candidate.Node.str();
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace

bool isWatcher(const home_record &Record) {
  return Record.Watches && !Record.Gone && !Record.NodeLeaving;
}

std::set<node_id>
watchersForNode(const node_id &Node, const failure_domain &Domain,
                const std::vector<watcher_candidate> &Candidates,
                bool WithForeign) {
  std::set<node_id> Chosen;
  std::vector<watcher_candidate> Foreign;
  for (const watcher_candidate &Candidate : Candidates) {
    if (Candidate.Domain != Domain) {
      Foreign.push_back(Candidate);
      continue;
    }
    Chosen.insert(Candidate.Node);
  }
  if (!WithForeign)
    return Chosen;
  std::sort(Foreign.begin(), Foreign.end(),
            [&](const watcher_candidate &Left, const watcher_candidate &Right) {
              return rankOf(Node, Left) > rankOf(Node, Right);
            });
  for (std::size_t Index = 0; Index < std::min(Foreign.size(), ForeignWatchers);
       ++Index)
    Chosen.insert(Foreign[Index].Node);
  return Chosen;
}

std::set<node_id>
watchersForWatcher(const node_id &Node, const failure_domain &Domain,
                   const std::vector<watcher_candidate> &Candidates) {
  std::set<node_id> Chosen;
  std::map<failure_domain, const watcher_candidate *> Best;
  for (const watcher_candidate &Candidate : Candidates) {
    if (Candidate.Domain == Domain) {
      Chosen.insert(Candidate.Node);
      continue;
    }
    const watcher_candidate *&Known = Best[Candidate.Domain];
    auto Order = [&](const watcher_candidate &Item) {
      return std::pair(Item.Usable, rankOf(Node, Item));
    };
    if (!Known || Order(Candidate) > Order(*Known))
      Known = &Candidate;
  }
  for (const auto &[Foreign, Candidate] : Best)
    Chosen.insert(Candidate->Node);
  return Chosen;
}

} // namespace chivebeam
