#pragma once

#include <stdexcept>
#include <string>

#include "base/error.h"

namespace chivebeam::fuzz {

/// Fails the run unless Holds.
inline void require(bool Holds, const std::string &Fault) {
  if (!Holds)
    throw std::logic_error(Fault);
}

inline void requireRemedy(const error &Error) {
  require(!Error.Remedy.empty() && !Error.Message.empty(),
          "an error without message or remedy: " + Error.text());
}

template <typename Value> void requireRemedies(const checked<Value> &Read) {
  if (Read)
    return;
  require(!Read.error().empty(), "input was refused without an error");
  for (const error &Error : Read.error())
    requireRemedy(Error);
}

} // namespace chivebeam::fuzz
