#pragma once

#include "routing/crash_suspects.h"

namespace chivebeam {

/// Knows the calls that ran when backend servers ended, and receives the events
/// that this node observes. Not thread safe.
class suspect_listener {
public:
  virtual ~suspect_listener() = default;

  virtual const crash_suspects &suspects() const = 0;
  virtual void suspectsObserved(const std::vector<suspect_event> &Events) = 0;
};

} // namespace chivebeam
