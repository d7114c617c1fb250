#include "config/compiler.h"

#include "base/object_reader.h"
#include "config/snapshot_builder.h"

namespace chivebeam {

namespace {

/// Appends More to All and prefixes each path with the name of the document.
void appendErrors(error_list &All, const error_list &More,
                  std::string_view Document) {
  for (error Error : More) {
    Error.Path = std::string(Document) + Error.Path;
    All.push_back(std::move(Error));
  }
}

/// Parses Text as JSON and passes the document to Read.
template <typename Value, typename Reader>
checked<Value> readDocument(std::string_view Text, Reader Read) {
  return parseJson(Text).and_then(Read);
}

} // namespace

checked<snapshot_ptr> compile(const config_source &Source) {
  checked<asset_register> Register =
      readDocument<asset_register>(Source.Register, readRegister);
  checked<rule_set> Rules = readDocument<rule_set>(Source.Rules, readRules);
  error_list Errors;
  if (!Register)
    appendErrors(Errors, Register.error(), "register:");
  if (!Rules)
    appendErrors(Errors, Rules.error(), "rules:");
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  checked<snapshot_ptr> Compiled = snapshot_builder()
                                       .withNumber(Source.Number)
                                       .withRegister(std::move(*Register))
                                       .withRules(std::move(*Rules))
                                       .build();
  if (Compiled)
    return Compiled;
  appendErrors(Errors, Compiled.error(), "rules:");
  return tl::unexpected(std::move(Errors));
}

} // namespace chivebeam
