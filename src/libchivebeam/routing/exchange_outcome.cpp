#include "routing/exchange_outcome.h"

namespace chivebeam {

exchange_outcome classifyExchange(const exchange_observation &Observed) {
  if (Observed.Answer == answer_end::complete)
    return exchange_outcome::answered;
  if (Observed.GivenUp)
    return exchange_outcome::given_up;
  switch (Observed.Answer) {
  case answer_end::complete:
    return exchange_outcome::answered;
  case answer_end::until_close:
    return exchange_outcome::answered_close;
  case answer_end::closed:
    return exchange_outcome::server_closed;
  case answer_end::invalid:
    return exchange_outcome::rejected;
  }
  return exchange_outcome::rejected;
}

} // namespace chivebeam
