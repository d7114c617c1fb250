#pragma once

#include <optional>

#include "config/compiler.h"
#include "config/config_head.h"

namespace chivebeam {

/// Result of offering a configuration to a node.
enum class config_outcome {
  applied,     ///< it is newer and now in force
  known,       ///< it is not newer, is below the floor, or was refused earlier
  refused,     ///< it does not compile; the previous one stays in force
  conflicting, ///< its number is in force with other content
  mismatched   ///< it does not compile to the expected digest
};

/// Returns the name that logs use for Outcome.
std::string_view toString(config_outcome Outcome);

/// Holds the configuration that is in force on this node. Its number never
/// decreases, and a configuration is applied either completely or not at all.
/// Not thread safe, but the snapshots it returns are.
class config_holder {
public:
  /// Compiles Source if it is newer than the one in force, and applies it. With
  /// an ExpectedDigest, it is applied only if it compiles to that digest. The
  /// refused source with the highest number is not compiled again.
  config_outcome offer(const config_source &Source,
                       std::optional<config_digest> ExpectedDigest = {});

  /// Sets the lowest number that is applied. A starting node uses it when it
  /// knows the fleet's current number but not yet the configuration. The
  /// number in force never decreases, whatever floor is set.
  void setFloor(config_number Number) { Floor = Number; }

  /// Returns the snapshot in force, or null if there is none yet.
  snapshot_ptr current() const { return Current; }
  /// Returns the source of the snapshot in force.
  const config_source &source() const { return Source; }
  /// Returns the number in force, or zero if there is none yet.
  config_number number() const;
  config_head head() const;
  /// True if a configuration is in force whose number is at least the floor.
  bool ready() const;
  /// Returns the errors of the refused configuration with the highest number;
  /// empty if there is none or a newer configuration is in force.
  const error_list &refusal() const { return Refusal; }
  /// Returns the highest refused number, or zero if there is none.
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
