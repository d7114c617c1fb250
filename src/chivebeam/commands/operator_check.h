#pragma once

#include <optional>
#include <ostream>
#include <string>

#include "config/config_change.h"
#include "config/finding.h"
#include "mesh/operator_document_format.h"

namespace chivebeam {

/// What a check of an operator's document has found.
struct operator_report {
  finding_list Findings; ///< errors first
  /// Differences from the version in force; empty without one, or if either
  /// document would be refused.
  config_change_list Changes;
  snapshot_ptr Config;  ///< null: nodes would refuse the document
  snapshot_ptr InForce; ///< null: none was given, or it would be refused

  /// True if the document may be sent.
  bool isValid() const;
};

/// Checks the text of a document and compares it with the one in force, if
/// given. Uses the compiler of the nodes. Thread safe.
operator_report
checkOperatorDocument(const operator_document_format &Format,
                      const std::string &Text,
                      const std::optional<std::string> &InForce);

/// Prints a line for each finding and change, and a last line on the result.
void printText(const operator_report &Report, std::ostream &Out);
/// Prints the report as one JSON object.
void printJson(const operator_report &Report, std::ostream &Out);

} // namespace chivebeam
