#include "limits/usage_owner_choice.h"

#include <algorithm>
#include <string_view>

namespace chivebeam {

namespace {

/// FNV-1a, which gives the same result on every platform, with a final mix.
std::uint64_t hashOf(std::string_view First, std::string_view Second) {
  constexpr std::uint64_t Offset = 0xcbf29ce484222325;
  constexpr std::uint64_t Prime = 0x100000001b3;
  constexpr std::uint64_t Mix = 0xff51afd7ed558ccd;
  constexpr unsigned MixShift = 33;
  std::uint64_t Hash = Offset;
  for (std::string_view Text : {First, Second}) {
    for (char Letter : Text)
      Hash = (Hash ^ static_cast<unsigned char>(Letter)) * Prime;
    Hash *= Prime;
  }
  Hash = (Hash ^ (Hash >> MixShift)) * Mix;
  return Hash ^ (Hash >> MixShift);
}

} // namespace

void usage_owner_choice::setNodes(const std::vector<home_record> &Records) {
  Domains.clear();
  Nodes = 0;
  for (const home_record &Record : Records) {
    domain_nodes &Domain = Domains[Record.Domain];
    if (Record.Gone)
      continue;
    ++Nodes;
    ++Domain.Nodes;
    if (Record.Watches && !Record.NodeLeaving)
      Domain.Watchers.push_back(Record.Node);
  }
}

std::size_t usage_owner_choice::nodesIn(const failure_domain &Domain) const {
  auto Found = Domains.find(Domain);
  return Found == Domains.end() ? 0 : Found->second.Nodes;
}

std::vector<node_id> usage_owner_choice::watchers() const {
  std::vector<node_id> All;
  for (const auto &[Name, Domain] : Domains)
    All.insert(All.end(), Domain.Watchers.begin(), Domain.Watchers.end());
  return All;
}

const node_id *usage_owner_choice::ownerIn(const domain_nodes &Domain,
                                           const workspace_name &Workspace) {
  auto Rank = [&](const node_id &Node) {
    return std::pair(hashOf(Workspace.str(), Node.str()), Node);
  };
  auto Best = std::max_element(Domain.Watchers.begin(), Domain.Watchers.end(),
                               [&](const node_id &Left, const node_id &Right) {
                                 return Rank(Left) < Rank(Right);
                               });
  return Best == Domain.Watchers.end() ? nullptr : &*Best;
}

std::vector<usage_part>
usage_owner_choice::partsOf(const workspace_name &Workspace,
                            const failure_domain &Own) const {
  std::vector<usage_part> Parts;
  for (const auto &[Name, Domain] : Domains)
    if (const node_id *Owner = ownerIn(Domain, Workspace))
      Parts.push_back({Name, *Owner});
  auto Rank = [&](const usage_part &Part) {
    return std::pair(Part.Domain != Own,
                     hashOf(Workspace.str() + Own.str(), Part.Domain.str()));
  };
  std::sort(Parts.begin(), Parts.end(),
            [&](const usage_part &Left, const usage_part &Right) {
              return Rank(Left) < Rank(Right);
            });
  return Parts;
}

bool usage_owner_choice::owns(const node_id &Node, const failure_domain &Domain,
                              const workspace_name &Workspace) const {
  auto Found = Domains.find(Domain);
  if (Found == Domains.end())
    return false;
  const node_id *Owner = ownerIn(Found->second, Workspace);
  return Owner && *Owner == Node;
}

} // namespace chivebeam
