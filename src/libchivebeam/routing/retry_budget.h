#pragma once

#include <algorithm>

namespace chivebeam {

/// Token bucket that limits second attempts to a share of the recent successful
/// calls, so that in an outage they stop soon instead of multiplying its load.
/// Each successful call adds its share of a token, each second attempt takes
/// one token. Not thread safe.
class retry_budget {
public:
  /// \pre Burst >= 0, the number of second attempts that may follow each other
  /// without a successful call.
  retry_budget(unsigned SharePercent, double Burst)
      : Share(SharePercent / 100.0), Burst(Burst), Tokens(Burst) {}

  void setShare(unsigned Percent) { Share = Percent / 100.0; }
  void callSucceeded() { Tokens = std::min(Burst, Tokens + Share); }
  bool available() const { return Tokens >= 1.0; }
  /// Returns true and takes a token if a second attempt is within the budget.
  bool take() {
    if (Tokens < 1.0)
      return false;
    Tokens -= 1.0;
    return true;
  }

private:
  double Share;
  double Burst;
  double Tokens;
};

} // namespace chivebeam
