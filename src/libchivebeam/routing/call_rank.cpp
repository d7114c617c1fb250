#include "routing/call_rank.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chivebeam {

namespace {

/// One of this many calls is promoted.
constexpr XXH64_hash_t PromotedInterval = 3;

} // namespace

unsigned priorityOfCall(unsigned Priority, const request_id &Id) {
  bool IsPromoted =
      XXH3_64bits(Id.str().data(), Id.str().size()) % PromotedInterval == 0;
  return IsPromoted ? 0 : Priority;
}

} // namespace chivebeam
