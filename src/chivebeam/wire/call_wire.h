#pragma once

#include "chivebeam_types.h"
#include "mesh/mesh_call.h"

namespace chivebeam {

/// Convert calls and their answers, without their bodies, to the wire form, and
/// back with the body that followed. Counts and times that another node sent
/// are bounded. Thread safe.
wire::call_request toWire(const mesh_call &Call, instant Now);
mesh_call fromWire(wire::call_request &In, std::string Body, instant Now);
wire::call_answer toWire(const mesh_answer &Answer);
mesh_answer fromWire(wire::call_answer &In, std::string Body);

} // namespace chivebeam
