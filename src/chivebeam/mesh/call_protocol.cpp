#include "mesh/call_protocol.h"

namespace chivebeam {

std::string_view toString(own_answer Answer) {
  switch (Answer) {
  case own_answer::no_route:
    return "no_route";
  case own_answer::not_ready:
    return "not_ready";
  case own_answer::not_run:
    return "not_run";
  case own_answer::may_have_run:
    return "may_have_run";
  case own_answer::out_of_time:
    return "out_of_time";
  case own_answer::unauthorized:
    return "unauthorized";
  case own_answer::over_cap:
    return "over_cap";
  case own_answer::bad_request:
    return "bad_request";
  case own_answer::header_too_large:
    return "header_too_large";
  case own_answer::body_too_large:
    return "body_too_large";
  case own_answer::too_slow:
    return "too_slow";
  }
  return "not_run";
}

} // namespace chivebeam
