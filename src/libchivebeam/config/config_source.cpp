#include "config/config_source.h"

#include <limits>

#include "base/object_reader.h"

namespace chivebeam {

namespace json = boost::json;

std::string writeSource(const config_source &Source) {
  json::object Document;
  Document["number"] = Source.Number.value();
  Document["publish_id"] = Source.Id.str();
  Document["published_at"] = formatTime(Source.PublishedAt);
  Document["register"] = Source.Register;
  Document["rules"] = Source.Rules;
  return json::serialize(Document);
}

checked<config_source> readSource(std::string_view Text) {
  checked<json::value> Document = parseJson(Text);
  if (!Document)
    return tl::unexpected(Document.error());
  error_list Errors;
  object_reader Reader(*Document, "", Errors);
  config_source Source;
  Source.Number = config_number(static_cast<std::uint64_t>(
      Reader.integer("number", 1, std::numeric_limits<std::int64_t>::max())));
  Source.Id = publish_id(Reader.text("publish_id"));
  Source.PublishedAt = Reader.time("published_at");
  Source.Register = Reader.text("register");
  Source.Rules = Reader.text("rules");
  Reader.finish();
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Source;
}

} // namespace chivebeam
