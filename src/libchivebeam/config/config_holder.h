#pragma once

#include <optional>

#include "config/compiler.h"
#include "config/config_head.h"

namespace chivebeam {

/// What a node did with a configuration that reached it.
enum class config_outcome {
  applied,     ///< it is newer and is now in force
  known,       ///< its number is not newer, or it was refused before
  refused,     ///< it does not compile; the last good one stays
  conflicting, ///< same number, other content
  mismatched   ///< compiles to another digest than the one promised
};

std::string_view toString(config_outcome Outcome);

/// Holds the configuration in force on this node. The number never falls, and
/// a configuration is applied whole or not at all. Not thread safe; the
/// snapshots it hands out are.
class config_holder {
public:
  /// Compiles Source and puts it in force if it is newer. With Promised, only
  /// if it compiles to that digest. A source refused once is not compiled
  /// again.
  config_outcome offer(const config_source &Source,
                       std::optional<config_digest> ExpectedDigest = {});

  /// Sets the number below which no configuration is applied. Used by a
  /// starting node that learned the fleet's number before its content; the
  /// number in force never falls whatever is set.
  void setFloor(config_number Number) { Floor = Number; }

  /// Returns the snapshot in force, or null before the first.
  snapshot_ptr current() const { return Current; }
  const config_source &source() const { return Source; }
  config_number number() const;
  config_head head() const;
  /// True once a configuration at or above the floor is in force.
  bool ready() const;
  /// Mistakes of the newest refused configuration; empty if none, or once a
  /// newer one is in force.
  const error_list &refusal() const { return Refusal; }
  config_number refusedNumber() const { return RefusedNumber; }

private:
  config_outcome refuse(const config_source &Source, error_list Errors);
  bool wasRefused(const config_source &Source) const;

  snapshot_ptr Current;
  config_source Source;
  config_number Floor;
  error_list Refusal;
  config_number RefusedNumber;
  publish_id RefusedId;
};

} // namespace chivebeam
