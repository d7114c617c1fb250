#include "net/jitter.h"

#include <random>

namespace chivebeam {

microseconds jitter(microseconds Longest) {
  static std::minstd_rand Engine{std::random_device()()};
  std::uniform_int_distribution<std::int64_t> Draw(0, Longest.count());
  return microseconds(Draw(Engine));
}

} // namespace chivebeam
