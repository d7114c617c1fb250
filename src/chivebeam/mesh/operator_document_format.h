#pragma once

#include <optional>
#include <string>

#include "config/snapshot.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// An operator's order to move a service's traffic to another version.
struct move_order {
  service_name Service;
  version_name To;
  microseconds Within{0}; ///< counted from the time of the order

  friend bool operator==(const move_order &, const move_order &) = default;
};

/// Reads the documents that the operator writes to the store and writes the
/// status that the operator reads there. Thread safe.
class operator_document_format {
public:
  virtual ~operator_document_format() = default;

  /// Returns the key prefix of all documents of the operator.
  virtual std::string prefix() const = 0;
  virtual bool isConfig(std::string_view Key) const = 0;
  /// Compiles the text of a configuration into a snapshot.
  virtual checked<snapshot_ptr> compile(const std::string &Text) const = 0;
  /// Returns the entries of a configuration that compile() passes over without
  /// an error although they look meant, each with path and remedy.
  virtual error_list findIgnored(const std::string &Text) const = 0;
  virtual bool isMoveOrder(std::string_view Key) const = 0;
  virtual result<move_order> readMoveOrder(const std::string &Text) const = 0;
  /// Returns the failure domain that the entry with this key evacuates as long
  /// as it exists; empty for all other keys.
  virtual std::optional<failure_domain>
  evacuatedDomain(std::string_view Key) const = 0;
  virtual std::string moveStatusKey(const service_name &Service) const = 0;
  virtual std::string writeMoveStatus(const service_name &Service,
                                      const version_name &To,
                                      move_verdict Verdict) const = 0;
};

} // namespace chivebeam
