#pragma once

#include <string>

#include "base/error.h"
#include "base/names.h"
#include "base/units.h"

namespace chivebeam {

/// A published configuration in the form in which it is stored and sent between
/// nodes: the original documents, not the compiled snapshot. Value type.
struct config_source {
  config_number Number;
  publish_id Id;
  instant PublishedAt;
  std::string Register; ///< JSON with comments, as published
  std::string Rules;    ///< JSON with comments, as published

  friend bool operator==(const config_source &,
                         const config_source &) = default;
};

/// Serializes Source as one JSON document.
std::string writeSource(const config_source &Source);
/// Parses a document that writeSource wrote. Returns all errors found.
checked<config_source> readSource(std::string_view Text);

} // namespace chivebeam
