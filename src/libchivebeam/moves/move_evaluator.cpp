#include "moves/move_evaluator.h"

namespace chivebeam {

std::string_view toString(evaluation_outcome Outcome) {
  switch (Outcome) {
  case evaluation_outcome::undecided:
    return "undecided";
  case evaluation_outcome::good:
    return "good";
  case evaluation_outcome::suspect:
    return "suspect";
  case evaluation_outcome::bad:
    return "bad";
  }
  return "undecided";
}

} // namespace chivebeam
