#pragma once

#include "mesh/mesh_records.h"
#include "mesh/mesh_settings.h"
#include "store/config_store.h"

namespace chivebeam {

/// Keeps a note on the backend server beside this node in the store, for the
/// next process of the node: that the server runs, so that it is used at once,
/// or that it leaves, so that it gets no calls. Runs on one io_context; not
/// thread safe.
class worker_note_store {
public:
  /// \pre Store and Settings outlive the object.
  worker_note_store(config_store &Store, const mesh_settings &Settings)
      : Store(Store), Settings(Settings) {}

  /// Stores that the backend server leaves. Waits a bounded time; returns
  /// whether the store has confirmed the write.
  awaitable<bool> saveLeaving(const home_record &Record);
  /// Stores that the backend server has started, unless the note may have
  /// changed since this process last read or wrote it: a delayed write must
  /// not replace a note that the server leaves.
  awaitable<void> saveStarted(home_record Record);
  /// Reads the note of an earlier process; empty if there is none. Retries for
  /// a bounded time; an error if the store does not answer.
  awaitable<result<std::optional<home_record>>> load();
  /// States that no earlier process has written a note.
  void assumeNone() { Revision = store_revision(); }
  /// Forgets the revision of an earlier era of the store.
  void forgetRevision() { Revision.reset(); }

private:
  config_store &Store;
  const mesh_settings &Settings;
  std::optional<store_revision> Revision; ///< of the note; empty: not known
};

} // namespace chivebeam
