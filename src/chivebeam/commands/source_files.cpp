#include "commands/source_files.h"

namespace chivebeam {

checked<config_source> readSourceFiles(const std::string &RegisterPath,
                                       const std::string &RulesPath) {
  config_source Source;
  error_list Errors;
  auto Read = [&](const std::string &Path, std::string &Into) {
    result<std::string> Text = readFile(Path);
    if (Text)
      Into = std::move(*Text);
    else
      Errors.push_back(Text.error());
  };
  Read(RegisterPath, Source.Register);
  Read(RulesPath, Source.Rules);
  if (!Errors.empty())
    return tl::unexpected(std::move(Errors));
  return Source;
}

} // namespace chivebeam
