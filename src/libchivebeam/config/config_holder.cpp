#include "config/config_holder.h"

namespace chivebeam {

std::string_view toString(config_outcome Outcome) {
  switch (Outcome) {
  case config_outcome::applied:
    return "applied";
  case config_outcome::known:
    return "known";
  case config_outcome::refused:
    return "refused";
  case config_outcome::conflicting:
    return "conflicting";
  case config_outcome::mismatched:
    return "mismatched";
  }
  return "known";
}

config_number config_holder::number() const {
  return Current ? Current->number() : config_number();
}

config_head config_holder::head() const {
  return Current ? config_head{Current->number(), Current->digest()}
                 : config_head();
}

bool config_holder::ready() const { return Current && number() >= Floor; }

bool config_holder::wasRefused(const config_source &Offered) const {
  return Offered.Number == RefusedNumber && Offered.Id == RefusedId;
}

config_outcome config_holder::refuse(const config_source &Offered,
                                     error_list Errors) {
  if (Offered.Number >= RefusedNumber) {
    Refusal = std::move(Errors);
    RefusedNumber = Offered.Number;
    RefusedId = Offered.Id;
  }
  return config_outcome::refused;
}

config_outcome
config_holder::offer(const config_source &Offered,
                     std::optional<config_digest> ExpectedDigest) {
  if (Current && Offered.Number == number())
    return Offered == Source ? config_outcome::known
                             : config_outcome::conflicting;
  if (Offered.Number <= number() || Offered.Number < Floor ||
      wasRefused(Offered))
    return config_outcome::known;
  checked<snapshot_ptr> Compiled = compile(Offered);
  if (!Compiled)
    return refuse(Offered, std::move(Compiled.error()));
  if (ExpectedDigest && (*Compiled)->digest() != *ExpectedDigest)
    return config_outcome::mismatched;
  Current = *Compiled;
  Source = Offered;
  if (RefusedNumber <= Offered.Number)
    Refusal.clear();
  return config_outcome::applied;
}

} // namespace chivebeam
