#include "config/snapshot_builder.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <unordered_map>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chivebeam {

namespace {

/// Appends an error for each rule whose Field has the same value as in an
/// earlier rule of the array List.
template <typename Rule, typename Key>
void rejectDuplicateRules(const std::vector<Rule> &Rules, std::string_view List,
                          std::string_view Field, Key KeyOf,
                          error_list &Errors) {
  std::set<std::string> Seen;
  for (std::size_t Index = 0; Index < Rules.size(); ++Index)
    if (!Seen.insert(KeyOf(Rules[Index])).second)
      Errors.push_back({error_kind::invalid_input,
                        "/" + std::string(List) + "/" + std::to_string(Index) +
                            "/" + std::string(Field),
                        "\"" + KeyOf(Rules[Index]) + "\" stands twice",
                        "remove one of them or rename it"});
}

/// True if some call matches both rules and neither rule is more specific.
bool overlap(const route_rule &Left, const route_rule &Right) {
  if (Left.PathPrefix != Right.PathPrefix || Left.Host != Right.Host)
    return false;
  if (Left.Methods.empty() || Right.Methods.empty())
    return Left.Methods.empty() && Right.Methods.empty();
  return std::find_first_of(Left.Methods.begin(), Left.Methods.end(),
                            Right.Methods.begin(),
                            Right.Methods.end()) != Left.Methods.end();
}

/// Orders routes by specificity: longer prefix first, then a host before none,
/// then methods before none, then by name.
bool isMoreSpecific(const route_rule &Left, const route_rule &Right) {
  if (Left.PathPrefix.size() != Right.PathPrefix.size())
    return Left.PathPrefix.size() > Right.PathPrefix.size();
  if (Left.Host.empty() != Right.Host.empty())
    return !Left.Host.empty();
  if (Left.Methods.empty() != Right.Methods.empty())
    return !Left.Methods.empty();
  return Left.Name < Right.Name;
}

/// Hashes a sequence of fields. A separator byte follows each field, so that
/// "ab","c" and "a","bc" have different hashes.
class digest_writer {
public:
  digest_writer() { XXH3_64bits_reset(&State); }
  void add(std::string_view Text) {
    XXH3_64bits_update(&State, Text.data(), Text.size());
    XXH3_64bits_update(&State, "\0", 1);
  }
  void add(std::int64_t Number) { add(std::to_string(Number)); }
  config_digest finish() const {
    return config_digest(XXH3_64bits_digest(&State));
  }

private:
  XXH3_state_t State;
};

/// Adds the optional fields of a route. For a route without any of them nothing
/// is added, so that its digest is the same as before these fields existed.
void addOptionalRouteFields(digest_writer &Digest, const route_rule &Route) {
  if (Route.Split.empty() && Route.Goal.count() == 0 && Route.MaxWorkers == 0)
    return;
  for (const weighted_service &Part : Route.Split) {
    Digest.add(Part.Service.str());
    Digest.add(Part.Weight);
  }
  Digest.add(Route.Goal.count());
  Digest.add(Route.Urgency);
  Digest.add(Route.MaxWorkers);
}

} // namespace

snapshot_builder &snapshot_builder::withNumber(config_number NewNumber) {
  Number = NewNumber;
  return *this;
}

snapshot_builder &snapshot_builder::withRegister(asset_register NewRegister) {
  Register = std::move(NewRegister);
  return *this;
}

snapshot_builder &snapshot_builder::withRules(rule_set NewRules) {
  Rules = std::move(NewRules);
  return *this;
}

checked<snapshot_ptr> snapshot_builder::build() {
  Snapshot = std::make_shared<snapshot>();
  Snapshot->Number = Number;
  for (const domain_entry &Entry : Register.Domains)
    Snapshot->Domains[Entry.Domain] = Entry.Region;
  for (const service_entry &Entry : Register.Services)
    Snapshot->Services[Entry.Service] = Entry;
  Snapshot->Routes = Rules.Routes;
  Snapshot->Moves = Rules.Moves;
  Snapshot->Limits = Rules.Limits;
  for (const workspace &Workspace : Rules.Workspaces)
    Snapshot->Workspaces.emplace(Workspace.Name, Workspace);
  checkRoutes();
  checkMoves();
  checkWorkspaces();
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  sortRoutes();
  Snapshot->indexRoutes();
  Snapshot->indexKeys();
  Snapshot->Digest = computeDigest();
  return snapshot_ptr(std::move(Snapshot));
}

void snapshot_builder::requireService(const service_name &Service,
                                      const std::string &Path) {
  if (!Snapshot->findService(Service))
    Errors.push_back(
        {error_kind::not_found, Path,
         "service \"" + Service.str() + "\" is not in the register",
         "add it to the register or correct the name"});
}

void snapshot_builder::requireVersion(const service_entry &Service,
                                      const version_name &Version,
                                      const std::string &Path) {
  if (std::find(Service.Versions.begin(), Service.Versions.end(), Version) ==
      Service.Versions.end())
    Errors.push_back({error_kind::not_found, Path,
                      "service \"" + Service.Service.str() +
                          "\" has no version \"" + Version.str() + "\"",
                      "add it to the service's \"versions\" in the register"});
}

void snapshot_builder::checkRoutes() {
  for (std::size_t Index = 0; Index < Rules.Routes.size(); ++Index) {
    const route_rule &Route = Rules.Routes[Index];
    std::string Path = "/routes/" + std::to_string(Index);
    requireService(Route.Service, Path + "/service");
    for (const weighted_service &Part : Route.Split)
      requireService(Part.Service, Path + "/split");
  }
  rejectDuplicateRules(
      Rules.Routes, "routes", "name",
      [](const route_rule &Rule) { return Rule.Name.str(); }, Errors);
  checkRouteOverlaps();
}

void snapshot_builder::checkRouteOverlaps() {
  std::unordered_map<std::string_view, std::vector<const route_rule *>> Earlier;
  for (std::size_t Index = 0; Index < Rules.Routes.size(); ++Index) {
    const route_rule &Later = Rules.Routes[Index];
    std::vector<const route_rule *> &SamePrefix = Earlier[Later.PathPrefix];
    for (const route_rule *Other : SamePrefix)
      if (overlap(*Other, Later))
        Errors.push_back(
            {error_kind::conflict,
             "/routes/" + std::to_string(Index) + "/path_prefix",
             "route \"" + Other->Name.str() +
                 "\" takes the same calls: host, prefix and a method are equal",
             "remove one of the two, or tell them apart by host or methods"});
    SamePrefix.push_back(&Later);
  }
}

void snapshot_builder::checkMove(const move_rule &Move,
                                 const std::string &Path) {
  requireService(Move.Service, Path + "/service");
  const service_entry *Service = Snapshot->findService(Move.Service);
  if (!Service)
    return;
  requireVersion(*Service, Move.From, Path + "/from");
  requireVersion(*Service, Move.To, Path + "/to");
  if (Service->Version != Move.From && Service->Version != Move.To)
    Errors.push_back({error_kind::invalid_input, Path + "/from",
                      "the service runs version \"" + Service->Version.str() +
                          "\", which this move neither leaves nor reaches",
                      "set \"from\" to the version in the register"});
}

void snapshot_builder::checkMoves() {
  for (std::size_t Index = 0; Index < Rules.Moves.size(); ++Index)
    checkMove(Rules.Moves[Index], "/moves/" + std::to_string(Index));
  rejectDuplicateRules(
      Rules.Moves, "moves", "id",
      [](const move_rule &Rule) { return Rule.Id.str(); }, Errors);
  rejectDuplicateRules(
      Rules.Moves, "moves", "service",
      [](const move_rule &Rule) { return Rule.Service.str(); }, Errors);
}

void snapshot_builder::checkWorkspaces() {
  for (std::size_t Index = 0; Index < Rules.Workspaces.size(); ++Index) {
    const workspace &Workspace = Rules.Workspaces[Index];
    std::string Path = "/workspaces/" + std::to_string(Index);
    auto Refuse = [&](std::string Field, std::string What, std::string Remedy) {
      Errors.push_back({error_kind::invalid_input,
                        std::string(Path).append("/").append(Field),
                        std::move(What), std::move(Remedy)});
    };
    if (Workspace.Name.empty())
      Refuse("name", "is empty", "give the workspace a name");
    const usage_cap &Cap = Workspace.Cap;
    if (!std::isfinite(Cap.RatePerSecond) || Cap.RatePerSecond < 0)
      Refuse("rate", "is negative or not a number",
             "set the calls a second, or leave it out for no limit");
    if (!std::isfinite(Cap.Burst) || Cap.Burst < 0)
      Refuse("burst", "is negative or not a number",
             "set the calls beyond the rate, or leave it out");
    if (Cap.Burst > 0 && Cap.RatePerSecond == 0)
      Refuse("burst", "has no rate",
             "set a rate beside it, or leave out the burst");
    checkKeys(Workspace, Path);
  }
  rejectDuplicateRules(
      Rules.Workspaces, "workspaces", "name",
      [](const workspace &Rule) { return Rule.Name.str(); }, Errors);
}

void snapshot_builder::checkKeys(const workspace &Workspace,
                                 const std::string &Path) {
  for (std::size_t Index = 0; Index < Workspace.Keys.size(); ++Index) {
    const api_key &Key = Workspace.Keys[Index];
    std::string KeyPath = Path + "/keys/" + std::to_string(Index);
    if (Key.empty())
      Errors.push_back({error_kind::invalid_input, KeyPath, "is empty",
                        "write the key or remove it"});
    // The message names no key, since it is logged.
    else if (!KnownKeys.insert(Key.secret()).second)
      Errors.push_back({error_kind::conflict, KeyPath, "the key stands twice",
                        "give each workspace keys of its own"});
  }
}

void snapshot_builder::sortRoutes() {
  std::sort(Snapshot->Routes.begin(), Snapshot->Routes.end(), isMoreSpecific);
}

config_digest snapshot_builder::computeDigest() const {
  digest_writer Digest;
  for (const auto &[Domain, Region] : Snapshot->Domains) {
    Digest.add(Domain.str());
    Digest.add(Region.str());
  }
  for (const auto &[Name, Service] : Snapshot->Services) {
    Digest.add(Name.str());
    Digest.add(toString(Service.Class));
    Digest.add(Service.Version.str());
    Digest.add(Service.Workers);
    Digest.add(Service.Slots);
    for (const version_name &Version : Service.Versions)
      Digest.add(Version.str());
  }
  for (const route_rule &Route : Snapshot->Routes) {
    Digest.add(Route.Name.str());
    Digest.add(Route.Host);
    Digest.add(Route.PathPrefix);
    for (const std::string &Method : Route.Methods)
      Digest.add(Method);
    Digest.add(Route.Service.str());
    Digest.add(Route.Idempotent ? 1 : 0);
    Digest.add(Route.Deadline.count());
    Digest.add(Route.RetryBudgetPercent);
    addOptionalRouteFields(Digest, Route);
    if (Route.AllowsAnonymous)
      Digest.add("anonymous");
  }
  for (const move_rule &Move : Snapshot->Moves) {
    Digest.add(Move.Id.str());
    Digest.add(Move.Service.str());
    Digest.add(Move.From.str());
    Digest.add(Move.To.str());
    Digest.add(Move.Start.time_since_epoch().count());
    Digest.add(Move.Deadline.time_since_epoch().count());
  }
  for (const auto &[Name, Workspace] : Snapshot->Workspaces) {
    Digest.add(Name.str());
    Digest.add(Workspace.Priority);
    Digest.add(std::to_string(Workspace.Cap.RatePerSecond));
    Digest.add(std::to_string(Workspace.Cap.Burst));
    for (const api_key &Key : Workspace.Keys)
      Digest.add(Key.secret());
  }
  return Digest.finish();
}

} // namespace chivebeam
