#include "membership/member_record.h"

#include <tuple>

namespace chivebeam {

namespace {

constexpr std::size_t MaxNameLength = 128;
/// Leaves enough higher values for any number of refutations.
constexpr std::uint64_t MaxIncarnation = std::uint64_t{1} << 62;
/// Encoded size of a record without its strings.
constexpr std::size_t FixedRecordBytes = 48;

bool isNameLengthValid(const std::string &Text) {
  return Text.size() <= MaxNameLength;
}

auto orderOf(const member_record &Record) {
  return std::tie(Record.Incarnation, Record.State, Record.Peer,
                  Record.RelayPort);
}

} // namespace

std::string_view toString(member_state State) {
  switch (State) {
  case member_state::alive:
    return "alive";
  case member_state::suspect:
    return "suspect";
  case member_state::dead:
    return "dead";
  }
  return "alive";
}

std::string_view toString(worker_state State) {
  switch (State) {
  case worker_state::absent:
    return "absent";
  case worker_state::ready:
    return "ready";
  case worker_state::leaving:
    return "leaving";
  }
  return "absent";
}

bool supersedes(const member_record &New, const member_record &Old) {
  return orderOf(New) > orderOf(Old);
}

bool isValid(const member_record &Record) {
  return !Record.Node.empty() && isNameLengthValid(Record.Node.str()) &&
         isNameLengthValid(Record.Domain.str()) &&
         isNameLengthValid(Record.Region.str()) &&
         isNameLengthValid(Record.Worker.Service.str()) &&
         isNameLengthValid(Record.Worker.Version.str()) &&
         Record.Peer.Port != 0 && Record.Incarnation.value() < MaxIncarnation &&
         parseAddress(Record.Peer.text()).has_value();
}

bool isUrgent(const member_record &Record) {
  return Record.State != member_state::dead &&
         (Record.Leaving || Record.Worker.State == worker_state::leaving);
}

bool changesRouting(const member_record &New, const member_record &Old) {
  bool WasDead = Old.State == member_state::dead;
  bool IsDead = New.State == member_state::dead;
  return WasDead != IsDead || New.Leaving != Old.Leaving ||
         New.Worker != Old.Worker || New.Peer != Old.Peer ||
         New.RelayPort != Old.RelayPort || New.Domain != Old.Domain ||
         New.Region != Old.Region;
}

std::size_t estimatedBytes(const member_record &Record) {
  return FixedRecordBytes + Record.Node.str().size() +
         Record.Domain.str().size() + Record.Region.str().size() +
         Record.Peer.Ip.size() + Record.Worker.Service.str().size() +
         Record.Worker.Version.str().size();
}

} // namespace chivebeam
