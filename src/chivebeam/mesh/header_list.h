#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "net/asio_types.h"

namespace chivebeam {

struct header_field {
  std::string Name;
  std::string Text;
};

/// Header fields of a call or an answer, in their order. A plain value.
using header_list = std::vector<header_field>;

/// Returns the first field of that name, ignoring case; null if there is none.
const std::string *findField(const header_list &Fields, std::string_view Name);
/// Removes all fields of that name.
void eraseField(header_list &Fields, std::string_view Name);
/// Replaces all fields of that name by one.
void setField(header_list &Fields, std::string_view Name, std::string Text);
/// Copies the fields that concern the message, without those that concern one
/// connection or its framing.
header_list endToEndFields(http::fields Fields);

} // namespace chivebeam
