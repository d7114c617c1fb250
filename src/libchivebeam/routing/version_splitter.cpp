#include "routing/version_splitter.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chivebeam {

namespace {

/// Cap on the open calls of the new version, as a multiple of its share of all
/// open calls.
constexpr unsigned OpenShareFactor = 4;
/// The new version may always have this many open calls, so that it is tried at
/// all.
constexpr unsigned MinOpenCap = 2;

} // namespace

bool version_splitter::atCap(const split_state &State) {
  if (State.Share >= FullShare || State.OpenNew < MinOpenCap)
    return false;
  return State.OpenNew * std::uint64_t{FullShare} >=
         std::uint64_t{State.Open} * State.Share * OpenShareFactor;
}

bool version_splitter::hashesToNewVersion(std::string_view Key,
                                          unsigned Share) {
  return XXH3_64bits(Key.data(), Key.size()) % FullShare < Share;
}

const version_name &version_splitter::choose(const service_name &Service,
                                             const version_split &Split,
                                             std::string_view StickyKey) {
  if (Split.New.empty() || Split.NewShare == 0)
    return Split.Old;
  split_state &State = States[Service];
  if (State.Share == 0)
    State.Deficit = static_cast<unsigned>(Random.below(FullShare));
  State.Share = Split.NewShare;
  if (!StickyKey.empty())
    return hashesToNewVersion(StickyKey, Split.NewShare) && !atCap(State)
               ? Split.New
               : Split.Old;
  State.Deficit += Split.NewShare;
  if (State.Deficit < FullShare)
    return Split.Old;
  State.Deficit -= FullShare;
  return atCap(State) ? Split.Old : Split.New;
}

void version_splitter::callStarted(const service_name &Service, bool ToNew) {
  split_state &State = States[Service];
  ++State.Open;
  State.OpenNew += ToNew ? 1 : 0;
}

void version_splitter::callEnded(const service_name &Service, bool ToNew) {
  split_state &State = States[Service];
  State.Open -= State.Open > 0 ? 1 : 0;
  if (ToNew)
    State.OpenNew -= State.OpenNew > 0 ? 1 : 0;
}

} // namespace chivebeam
