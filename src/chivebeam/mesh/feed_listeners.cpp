#include "mesh/feed_listeners.h"

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

void order_listener::takeOrder(const store_entry &Entry) {
  result<move_order> Order = Orders.readMoveOrder(Entry.Value);
  if (!Order)
    return logBadEntry(Entry, Order.error());
  Desk.takeOrder(*Order, Entry.ModifiedAt);
}

void order_listener::listed(const range_answer &Listing) {
  take(Listing.Entries);
}

void order_listener::take(const std::vector<store_entry> &Entries) {
  // Orders first: no call may go to a version before its move is known.
  for (const store_entry &Entry : Entries)
    if (Orders.isMoveOrder(Entry.Key))
      takeOrder(Entry);
  for (const store_entry &Entry : Entries)
    if (Orders.isConfig(Entry.Key))
      State.takeConfig(config_number(),
                       std::make_shared<const std::string>(Entry.Value));
}

void order_listener::changed(const watch_event &Event) {
  if (!Event.Deleted)
    take({Event.Entry});
}

void mesh_listener::takeHome(const store_entry &Entry) {
  result<home_record> Record = readHomeRecord(Entry.Value, currentTime());
  if (!Record || Record->Node != nodeOf(Entry.Key)) {
    if (!Record)
      logBadEntry(Entry, Record.error());
    return;
  }
  if (Record->Node != Settings.Node)
    return State.takeStored(*Record);
  Registrar.noteStored(Entry.ModifiedAt);
  Workers.restore(*Record);
}

void mesh_listener::take(const store_entry &Entry) {
  if (isHome(Entry.Key)) {
    takeHome(Entry);
  } else if (Entry.Key == mesh_keys::leaving(Settings.Node)) {
    if (result<home_record> Record = readHomeRecord(Entry.Value, currentTime()))
      Workers.restoreLeaving(*Record);
    else
      logBadEntry(Entry, Record.error());
  } else if (Entry.Key == mesh_keys::conductor()) {
    Desk.takeConductor(node_id(Entry.Value));
  } else if (Entry.Key.starts_with(mesh_keys::moves())) {
    if (result<service_move> Move = readServiceMove(Entry.Value))
      Desk.takeMove(*Move, Entry.ModifiedAt);
    else
      logBadEntry(Entry, Move.error());
  }
}

void mesh_listener::removed(const watch_event &Event) {
  const std::string &Key = Event.Entry.Key;
  if (Key == mesh_keys::conductor())
    Desk.conductorVanished();
  else if (Key == mesh_keys::home(Settings.Node))
    Registrar.noteMissing(Event.Entry.ModifiedAt);
  else if (isHome(Key))
    State.entryRemoved(nodeOf(Key));
}

void mesh_listener::listed(const range_answer &Listing) {
  std::vector<node_id> Nodes;
  bool HasConductor = false;
  for (const store_entry &Entry : Listing.Entries) {
    if (isHome(Entry.Key))
      Nodes.push_back(nodeOf(Entry.Key));
    HasConductor = HasConductor || Entry.Key == mesh_keys::conductor();
    take(Entry);
  }
  State.keepOnly(Nodes);
  bool OwnListed =
      std::find(Nodes.begin(), Nodes.end(), Settings.Node) != Nodes.end();
  if (!OwnListed)
    Registrar.noteMissing(Listing.Revision);
  if (!HasConductor)
    Desk.conductorVanished();
}

void mesh_listener::changed(const watch_event &Event) {
  if (Event.Deleted)
    removed(Event);
  else
    take(Event.Entry);
}

} // namespace chivebeam
