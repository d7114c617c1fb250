#pragma once

#include <optional>
#include <string>

#include "config/snapshot.h"
#include "moves/move_progress.h"

namespace chivebeam {

/// The operator wants a service's traffic moved to another version.
struct move_order {
  service_name Service;
  version_name To;
  microseconds Within{0}; ///< from the moment of the order

  friend bool operator==(const move_order &, const move_order &) = default;
};

/// How the operator's documents in the store are read, and how what he reads
/// there is written. Thread safe.
class operator_document_format {
public:
  virtual ~operator_document_format() = default;

  /// All documents of the operator stand under this prefix.
  virtual std::string prefix() const = 0;
  virtual bool isConfig(std::string_view Key) const = 0;
  /// Compiles the text of a configuration.
  virtual checked<snapshot_ptr> compile(const std::string &Text) const = 0;
  virtual bool isMoveOrder(std::string_view Key) const = 0;
  virtual result<move_order> readMoveOrder(const std::string &Text) const = 0;
  virtual std::string moveStatusKey(const service_name &Service) const = 0;
  virtual std::string writeMoveStatus(const service_name &Service,
                                      const version_name &To,
                                      move_verdict Verdict) const = 0;
};

} // namespace chivebeam
