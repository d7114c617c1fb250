#pragma once

#include <string>
#include <variant>

#include "base/error.h"
#include "membership/gossip_message.h"
#include "moves/evidence.h"

namespace chivebeam {

using datagram_content = std::variant<gossip_message, evidence_report>;

/// Encode and decode one UDP datagram between nodes. Thread safe.
std::string encodeDatagram(const datagram_content &Content);
result<datagram_content> decodeDatagram(std::string_view Bytes);

} // namespace chivebeam
