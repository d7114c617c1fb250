#include "mesh/store_listeners.h"

#include <algorithm>

#include "net/clock.h"
#include "telemetry/log_event.h"

namespace chivebeam {

namespace {

void logBadEntry(const store_entry &Entry, const error &Problem) {
  log_event("store_entry_skipped")
      .add("key", Entry.Key)
      .add("revision", Entry.ModifiedAt)
      .add("error", Problem.text());
}

bool isHome(const std::string &Key) {
  return Key.starts_with(mesh_keys::homes());
}

node_id nodeOf(const std::string &HomeKey) {
  return node_id(HomeKey.substr(mesh_keys::homes().size()));
}

} // namespace

void operator_listener::applyOrder(const store_entry &Entry) {
  result<move_order> Order = DocumentFormat.readMoveOrder(Entry.Value);
  if (!Order)
    return logBadEntry(Entry, Order.error());
  MoveExecutor.applyOrder(*Order, Entry.ModifiedAt);
}

void operator_listener::onListed(const range_answer &Listing) {
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
  if (!Event.Deleted)
    apply({Event.Entry});
}

void mesh_listener::applyHomeRecord(const store_entry &Entry) {
  result<home_record> Record = readHomeRecord(Entry.Value, currentTime());
  if (!Record || Record->Node != nodeOf(Entry.Key)) {
    if (!Record)
      logBadEntry(Entry, Record.error());
    return;
  }
  if (Record->Node != Settings.Node)
    return State.applyStoredRecord(*Record);
  Registrar.entryFound(Entry.ModifiedAt);
  Workers.restore(*Record);
}

void mesh_listener::apply(const store_entry &Entry) {
  if (isHome(Entry.Key)) {
    applyHomeRecord(Entry);
  } else if (Entry.Key == mesh_keys::leaving(Settings.Node)) {
    if (result<home_record> Record = readHomeRecord(Entry.Value, currentTime()))
      Workers.restoreLeaving(*Record);
    else
      logBadEntry(Entry, Record.error());
  } else if (Entry.Key == mesh_keys::coordinator()) {
    MoveExecutor.setCoordinator(node_id(Entry.Value));
  } else if (Entry.Key.starts_with(mesh_keys::moves())) {
    if (result<service_move> Move = readServiceMove(Entry.Value))
      MoveExecutor.applyMove(*Move, Entry.ModifiedAt);
    else
      logBadEntry(Entry, Move.error());
  }
}

void mesh_listener::applyRemoval(const watch_event &Event) {
  const std::string &Key = Event.Entry.Key;
  if (Key == mesh_keys::coordinator())
    MoveExecutor.clearCoordinator();
  else if (Key == mesh_keys::home(Settings.Node))
    Registrar.entryMissing(Event.Entry.ModifiedAt);
  else if (isHome(Key))
    State.entryRemoved(nodeOf(Key));
}

void mesh_listener::onListed(const range_answer &Listing) {
  std::vector<node_id> Nodes;
  bool HasCoordinator = false;
  for (const store_entry &Entry : Listing.Entries) {
    if (isHome(Entry.Key))
      Nodes.push_back(nodeOf(Entry.Key));
    HasCoordinator = HasCoordinator || Entry.Key == mesh_keys::coordinator();
    apply(Entry);
  }
  State.keepOnly(Nodes);
  bool OwnListed =
      std::find(Nodes.begin(), Nodes.end(), Settings.Node) != Nodes.end();
  if (!OwnListed)
    Registrar.entryMissing(Listing.Revision);
  if (!HasCoordinator)
    MoveExecutor.clearCoordinator();
}

void mesh_listener::onChanged(const watch_event &Event) {
  if (Event.Deleted)
    applyRemoval(Event);
  else
    apply(Event.Entry);
}

} // namespace chivebeam
