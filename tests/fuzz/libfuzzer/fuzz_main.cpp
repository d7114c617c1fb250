// Entry point of libFuzzer. CHIVEBEAM_FUZZ_TARGET names the target.
#include <cstdlib>

#include "fuzz/fuzz_targets.h"

namespace {

const chivebeam::fuzz::fuzz_target &chosenTarget() {
  const char *Name = std::getenv("CHIVEBEAM_FUZZ_TARGET");
  for (const auto &Target : chivebeam::fuzz::allTargets())
    if (Name && Target.Name == Name)
      return Target;
  std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *Data,
                                      std::size_t Size) {
  static const chivebeam::fuzz::fuzz_target &Target = chosenTarget();
  Target.Run({reinterpret_cast<const char *>(Data), Size});
  return 0;
}
