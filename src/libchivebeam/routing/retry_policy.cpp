#include "routing/retry_policy.h"

namespace chivebeam {

std::string_view toString(attempt_outcome Outcome) {
  switch (Outcome) {
  case attempt_outcome::answered:
    return "answered";
  case attempt_outcome::server_failed:
    return "server_failed";
  case attempt_outcome::not_sent:
    return "not_sent";
  case attempt_outcome::server_refused:
    return "server_refused";
  case attempt_outcome::lost:
    return "lost";
  }
  return "lost";
}

std::string_view toString(next_step Step) {
  switch (Step) {
  case next_step::deliver:
    return "deliver";
  case next_step::retry:
    return "another";
  case next_step::refuse:
    return "refuse";
  case next_step::fail:
    return "fail";
  case next_step::time_out:
    return "time_out";
  }
  return "fail";
}

bool reachedServer(attempt_outcome Outcome) {
  return Outcome != attempt_outcome::not_sent;
}

next_step lastStep(attempt_outcome Outcome, const attempt_history &History) {
  if (Outcome == attempt_outcome::answered ||
      Outcome == attempt_outcome::server_failed)
    return next_step::deliver;
  if (Outcome == attempt_outcome::lost || History.MayHaveRun)
    return History.TimeLeft ? next_step::fail : next_step::time_out;
  return next_step::refuse;
}

} // namespace chivebeam
