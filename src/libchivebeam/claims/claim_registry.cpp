#include "claims/claim_registry.h"

namespace chivebeam {

claim_entry *claim_registry::find(const claim_key &Key) {
  auto Found = Entries.find(Key);
  return Found == Entries.end() ? nullptr : &Found->second;
}

void claim_registry::addPending(const claim_record &Claim) {
  Entries[Claim.Key] = {claim_state::pending, Claim, 0};
  KeysByAge.push_back({Claim.At, Claim.Key});
}

void claim_registry::apply(const claim_record &Record) {
  if (Record.Event == claim_event::claimed) {
    addPending(Record);
    Entries[Record.Key].State = claim_state::claimed;
    return;
  }
  claim_entry *Entry = find(Record.Key);
  if (!Entry || Entry->Claim.Id != Record.Id)
    return;
  if (Record.Event == claim_event::released) {
    erase(Record.Key);
    return;
  }
  Entry->State = claim_state::ran;
  Entry->Status = Record.Status;
}

void claim_registry::removeClaimsBefore(instant Limit) {
  while (!KeysByAge.empty() && KeysByAge.front().At < Limit) {
    claim_entry *Entry = find(KeysByAge.front().Key);
    if (Entry && Entry->Claim.At < Limit &&
        Entry->State != claim_state::pending &&
        Entry->State != claim_state::abandoned)
      erase(KeysByAge.front().Key);
    KeysByAge.pop_front();
  }
}

} // namespace chivebeam
