#include "mesh/store_listeners.h"

#include <set>

#include "net/clock.h"

namespace chivebeam {

void operator_listener::applyOrder(const store_entry &Entry) {
  result<move_order> Order = DocumentFormat.readMoveOrder(Entry.Value);
  if (!Order)
    return Skipped.skip(Entry, Order.error());
  MoveExecutor.applyOrder(*Order, Entry.ModifiedAt);
}

std::optional<failure_domain>
operator_listener::evacuatedBy(const store_entry &Entry) {
  std::optional<failure_domain> Domain =
      DocumentFormat.evacuatedDomain(Entry.Key);
  if (!Domain || Settings.Domains.empty() || Settings.Domains.contains(*Domain))
    return Domain;
  Skipped.skip(Entry, {error_kind::not_found, Entry.Key,
                       "no failure domain \"" + Domain->str() + "\" exists",
                       "remove the order, or write it for one of the failure "
                       "domains in the settings"});
  return std::nullopt;
}

void operator_listener::onListed(const range_answer &Listing) {
  std::set<failure_domain> Evacuated;
  for (const store_entry &Entry : Listing.Entries)
    if (std::optional<failure_domain> Domain = evacuatedBy(Entry))
      Evacuated.insert(*Domain);
  State.evacuationsListed(std::move(Evacuated), Listing.Revision);
  apply(Listing.Entries);
}

void operator_listener::apply(const std::vector<store_entry> &Entries) {
  // Applies orders before configurations, since no call may go to a new version
  // before its move is known.
  for (const store_entry &Entry : Entries)
    if (DocumentFormat.isMoveOrder(Entry.Key))
      applyOrder(Entry);
  for (const store_entry &Entry : Entries)
    if (DocumentFormat.isConfig(Entry.Key))
      State.applyConfig(config_number(),
                        std::make_shared<const std::string>(Entry.Value));
}

void operator_listener::onChanged(const watch_event &Event) {
  std::optional<failure_domain> Evacuated =
      Event.Deleted ? DocumentFormat.evacuatedDomain(Event.Entry.Key)
                    : evacuatedBy(Event.Entry);
  if (Evacuated)
    State.evacuationChanged(*Evacuated, Event.Entry.ModifiedAt, !Event.Deleted);
  if (!Event.Deleted)
    apply({Event.Entry});
}

void mesh_listener::apply(const store_entry &Entry) {
  if (Entry.Key == mesh_keys::coordinator()) {
    MoveExecutor.setCoordinator(node_id(Entry.Value));
  } else if (Entry.Key.starts_with(mesh_keys::moves())) {
    if (result<service_move> Move = readServiceMove(Entry.Value))
      MoveExecutor.applyMove(*Move, Entry.ModifiedAt);
    else
      Skipped.skip(Entry, Move.error());
  }
}

void mesh_listener::applyWatchers(const std::vector<store_entry> &Entries) {
  listed_watchers Listed;
  for (const store_entry &Entry : Entries)
    if (std::optional<error> Problem = Listed.add(Entry, currentTime()))
      Skipped.skip(Entry, *Problem);
  for (const watcher_slot &Slot : Listed.Slots)
    Registrar.slotFound(Slot);
  Membership.addListed(Listed.Records);
}

void mesh_listener::applyRemoval(const watch_event &Event) {
  const std::string &Key = Event.Entry.Key;
  if (Key == mesh_keys::coordinator())
    MoveExecutor.clearCoordinator();
  else if (Key.starts_with(mesh_keys::watchers()))
    Registrar.slotMissing(Key, Event.Entry.ModifiedAt);
}

void mesh_listener::onListed(const range_answer &Listing) {
  bool HasCoordinator = false;
  std::set<std::string> Slots;
  for (const store_entry &Entry : Listing.Entries) {
    HasCoordinator = HasCoordinator || Entry.Key == mesh_keys::coordinator();
    if (Entry.Key.starts_with(mesh_keys::watchers()))
      Slots.insert(Entry.Key);
    apply(Entry);
  }
  applyWatchers(Listing.Entries);
  if (std::optional<std::string> Own = Registrar.heldKey();
      Own && !Slots.contains(*Own))
    Registrar.slotMissing(*Own, Listing.Revision);
  if (!HasCoordinator)
    MoveExecutor.clearCoordinator();
}

void mesh_listener::onChanged(const watch_event &Event) {
  if (Event.Deleted)
    return applyRemoval(Event);
  apply(Event.Entry);
  applyWatchers({Event.Entry});
}

} // namespace chivebeam
