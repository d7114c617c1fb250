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

/// Header fields of a call or an answer, in order. Value type.
using header_list = std::vector<header_field>;

/// Returns the value of the first field with this name, ignoring case; null if
/// there is none.
const std::string *findField(const header_list &Fields, std::string_view Name);
/// Removes all fields with this name, ignoring case.
void eraseField(header_list &Fields, std::string_view Name);
/// Replaces all fields with this name by a single one.
void setField(header_list &Fields, std::string_view Name, std::string Text);
/// Returns the bytes of the names and values of all fields.
std::size_t fieldBytes(const http::fields &Fields);
/// Returns the end-to-end fields, without those that concern a single
/// connection or the framing of the message.
header_list endToEndFields(http::fields Fields);

} // namespace chivebeam
