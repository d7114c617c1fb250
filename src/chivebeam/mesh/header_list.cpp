#include "mesh/header_list.h"

#include "data/call_headers.h"

namespace chivebeam {

namespace {

bool sameName(std::string_view Left, std::string_view Right) {
  return beast::iequals(toBeast(Left), toBeast(Right));
}

} // namespace

const std::string *findField(const header_list &Fields, std::string_view Name) {
  for (const header_field &Field : Fields)
    if (sameName(Field.Name, Name))
      return &Field.Text;
  return nullptr;
}

void eraseField(header_list &Fields, std::string_view Name) {
  std::erase_if(Fields, [&](const header_field &Field) {
    return sameName(Field.Name, Name);
  });
}

void setField(header_list &Fields, std::string_view Name, std::string Text) {
  eraseField(Fields, Name);
  Fields.push_back({std::string(Name), std::move(Text)});
}

std::size_t fieldBytes(const http::fields &Fields) {
  std::size_t Bytes = 0;
  for (const auto &Field : Fields)
    Bytes += Field.name_string().size() + Field.value().size();
  return Bytes;
}

header_list endToEndFields(http::fields Fields) {
  removeConnectionFields(Fields);
  Fields.erase(http::field::content_length);
  Fields.erase(http::field::transfer_encoding);
  header_list List;
  for (const auto &Field : Fields)
    List.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return List;
}

} // namespace chivebeam
