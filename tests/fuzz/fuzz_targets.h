#pragma once

#include <span>
#include <string_view>

namespace chivebeam::fuzz {

/// A parser of external input under test. It must return for any bytes without
/// a crash, an exception or unbounded memory use; each error must have a
/// remedy.
struct fuzz_target {
  std::string_view Name; ///< also the name of its folder in the corpus
  void (*Run)(std::string_view Bytes);
};

std::span<const fuzz_target> allTargets();

} // namespace chivebeam::fuzz
