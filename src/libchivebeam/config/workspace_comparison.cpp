#include "config/workspace_comparison.h"

#include <algorithm>

#include "config/change_text.h"

namespace chivebeam {

namespace {

/// Returns how many keys of Workspace are no keys of the same workspace in
/// Other.
std::size_t countKeysMissingIn(const snapshot &Other,
                               const workspace &Workspace) {
  std::size_t Count = 0;
  for (const api_key &Key : Workspace.Keys) {
    const workspace *Holder = Other.findWorkspaceOf(Key);
    if (!Holder || Holder->Name != Workspace.Name)
      ++Count;
  }
  return Count;
}

/// Returns how many keys of Workspace belong to no workspace in Other.
std::size_t countKeysUnknownTo(const snapshot &Other,
                               const workspace &Workspace) {
  std::size_t Count = 0;
  for (const api_key &Key : Workspace.Keys)
    if (!Other.findWorkspaceOf(Key))
      ++Count;
  return Count;
}

std::string keysText(std::size_t Count) {
  return std::to_string(Count) + (Count == 1 ? " key" : " keys");
}

std::string capText(const usage_cap &Cap) {
  if (!Cap.isLimited())
    return "none";
  return numberText(Cap.RatePerSecond) + "/s, burst " + numberText(Cap.Burst);
}

bool hasAnonymousRoute(const snapshot &Config) {
  return std::any_of(
      Config.routes().begin(), Config.routes().end(),
      [](const route_rule &Rule) { return Rule.AllowsAnonymous; });
}

/// Says what becomes of calls with keys that New takes from a workspace.
std::string lostKeysEffect(const snapshot &New, std::size_t Removed,
                           std::size_t Unknown) {
  if (!New.hasWorkspaces())
    return "calls need no key any more";
  if (Removed == 0)
    return "none; it had no keys";
  std::string Text;
  if (Unknown > 0)
    Text = "calls with " + keysText(Unknown) + " get 401";
  if (Unknown > 0 && hasAnonymousRoute(New))
    Text += ", or are anonymous on routes that allow it";
  if (Unknown < Removed)
    Text += (Text.empty() ? "calls with " : "; calls with ") +
            keysText(Removed - Unknown) + " belong to another workspace";
  return Text;
}

std::string capEffect(const usage_cap &Cap) {
  return Cap.isLimited()
             ? "calls over " + numberText(Cap.RatePerSecond) +
                   "/s and a burst of " + numberText(Cap.Burst) + " get 429"
             : "calls are not limited";
}

/// Nodes order calls by the workspace's priority before the route's, and serve
/// a third of those of each workspace first all the same.
std::string priorityEffect(unsigned Before, unsigned After) {
  return std::string("under a shortage, its calls go ") +
         (After < Before ? "before" : "after") +
         " those of more other workspaces; a third of them goes first all the "
         "same";
}

void compareWorkspace(const snapshot &InForce, const snapshot &New,
                      const workspace &Before, const workspace &After,
                      config_change_list &Changes) {
  auto Add = [&](std::string What, std::string Effect) {
    Changes.push_back({change_kind::changed,
                       "workspace " + quoted(After.Name.str()), std::move(What),
                       std::move(Effect)});
  };
  std::size_t Removed = countKeysMissingIn(New, Before);
  std::size_t Added = countKeysMissingIn(InForce, After);
  if (Removed > 0)
    Add(keysText(Removed) + " removed",
        lostKeysEffect(New, Removed, countKeysUnknownTo(New, Before)));
  if (Added > 0)
    Add(keysText(Added) + " added",
        "calls with new keys belong to the workspace");
  if (Before.Cap != After.Cap)
    Add(changeText("usage cap", capText(Before.Cap), capText(After.Cap)),
        capEffect(After.Cap));
  if (Before.Priority != After.Priority)
    Add(changeText("priority", std::to_string(Before.Priority),
                   std::to_string(After.Priority)),
        priorityEffect(Before.Priority, After.Priority));
}

/// Adds that calls need keys from now on, or need none any more.
void compareNeedOfKeys(const snapshot &InForce, const snapshot &New,
                       config_change_list &Changes) {
  if (New.hasWorkspaces() && !InForce.hasWorkspaces())
    Changes.push_back({change_kind::added, "workspaces", "",
                       "calls without a key of a workspace get 401 on routes "
                       "that allow no anonymous calls"});
  if (InForce.hasWorkspaces() && !New.hasWorkspaces())
    Changes.push_back({change_kind::removed, "workspaces", "",
                       "calls need no key on any route"});
}

} // namespace

void compareWorkspaces(const snapshot &InForce, const snapshot &New,
                       config_change_list &Changes) {
  compareNeedOfKeys(InForce, New, Changes);
  for (const auto &[Name, Before] : InForce.workspaces())
    if (!New.findWorkspace(Name))
      Changes.push_back({change_kind::removed,
                         "workspace " + quoted(Name.str()),
                         "with " + keysText(Before.Keys.size()),
                         lostKeysEffect(New, Before.Keys.size(),
                                        countKeysUnknownTo(New, Before))});
  for (const auto &[Name, After] : New.workspaces()) {
    if (const workspace *Before = InForce.findWorkspace(Name))
      compareWorkspace(InForce, New, *Before, After, Changes);
    else
      Changes.push_back(
          {change_kind::added, "workspace " + quoted(Name.str()),
           "with " + keysText(After.Keys.size()),
           After.Keys.empty()
               ? "none; no call belongs to it"
               : "calls with its keys are accepted; " + capEffect(After.Cap)});
  }
}

} // namespace chivebeam
