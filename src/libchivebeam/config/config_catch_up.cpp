#include "config/config_catch_up.h"

#include <algorithm>

namespace chivebeam {

void config_catch_up::noteOwnNumber(config_number OwnNumber, instant Now) {
  // The node's own number has changed, so the store still delivers
  // configurations: wait for the store again before asking a peer.
  if (BehindSince != instant() && OwnNumberWhenBehind == OwnNumber)
    return;
  BehindSince = Now;
  OwnNumberWhenBehind = OwnNumber;
  RequestedAt = instant();
  AnswerTimeout = InitialAnswerTimeout;
  Asked.clear();
  std::erase_if(Holders, [&](const auto &Item) {
    return Item.second.Number <= OwnNumber;
  });
}

bool config_catch_up::mayRequest(bool AskAtOnce, instant Now) const {
  if (!CutOff && !AskAtOnce && Now < BehindSince + StoreWait)
    return false;
  return RequestedAt == instant() || Now >= RequestedAt + AnswerTimeout;
}

void config_catch_up::noteRequest(const node_id &Peer, instant Now) {
  if (RequestedAt != instant())
    AnswerTimeout = std::min(AnswerTimeout * 2, MaxAnswerTimeout);
  RequestedAt = Now;
  Requested = Peer;
  Asked.insert(Peer);
}

bool config_catch_up::peerReported(config_number PeerNumber,
                                   config_number OwnNumber, instant Now,
                                   bool AskAtOnce, const node_id &From) {
  NewestOfPeers = std::max(NewestOfPeers, PeerNumber);
  if (NewestOfPeers <= OwnNumber) {
    BehindSince = instant();
    return false;
  }
  noteOwnNumber(OwnNumber, Now);
  if (PeerNumber <= OwnNumber)
    return false;
  if (!From.empty())
    Holders[From] = {PeerNumber, AskAtOnce};
  if (!mayRequest(AskAtOnce, Now))
    return false;
  noteRequest(From, Now);
  return true;
}

const node_id *config_catch_up::chooseHolder(bool AskedBefore,
                                             instant Now) const {
  const node_id *Chosen = nullptr;
  for (const auto &[Node, Holder] : Holders) {
    bool JustAsked = Node == Requested && Holders.size() > 1;
    if (Asked.contains(Node) != AskedBefore || (AskedBefore && JustAsked) ||
        !mayRequest(Holder.AskAtOnce, Now))
      continue;
    if (Holder.AskAtOnce)
      return &Node;
    Chosen = Chosen ? Chosen : &Node;
  }
  return Chosen;
}

std::optional<node_id> config_catch_up::nextSource(config_number OwnNumber,
                                                   instant Now) {
  if (!isBehind(OwnNumber) || Holders.empty())
    return std::nullopt;
  noteOwnNumber(OwnNumber, Now);
  const node_id *Source = chooseHolder(false, Now);
  if (!Source) {
    Source = chooseHolder(true, Now);
    if (!Source)
      return std::nullopt;
    Asked.clear();
  }
  noteRequest(*Source, Now);
  return *Source;
}

void config_catch_up::connectionEnded(const node_id &Peer) {
  Holders.erase(Peer);
  if (Peer == Requested)
    RequestedAt = instant();
}

} // namespace chivebeam
