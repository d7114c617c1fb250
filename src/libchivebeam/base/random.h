#pragma once

#include <cstdint>
#include <random>

namespace chivebeam {

/// Pseudo-random number generator with an explicit seed, so that decisions are
/// reproducible. Not thread safe.
class random_source {
public:
  explicit random_source(std::uint64_t Seed) : Engine(Seed) {}

  /// Returns a number in [0, Bound). \pre Bound > 0.
  std::uint64_t below(std::uint64_t Bound) { return Engine() % Bound; }
  /// Returns a number in [0, 1).
  double unit() { return static_cast<double>(Engine() >> 11) * 0x1.0p-53; }

private:
  std::mt19937_64 Engine;
};

} // namespace chivebeam
