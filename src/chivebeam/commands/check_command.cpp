#include "commands/check_command.h"

#include <iostream>

#include "commands/operator_check.h"
#include "commands/source_files.h"
#include "config/compiler.h"
#include "config/publish_check.h"

namespace chivebeam {

namespace options = boost::program_options;

void check_command::addOptions(option_list &Options) const {
  auto Add = Options.add_options();
  Add("operator", options::value<std::string>(),
      "document that an operator of a mesh wants to send");
  Add("in-force", options::value<std::string>(),
      "with --operator: the document in force; shows what changes for callers");
  Add("output", options::value<std::string>(),
      "with --operator: text (default) or json");
}

exit_code check_command::run(const option_values &Values,
                             const std::vector<std::string> &Arguments) const {
  if (Values.count("operator") > 0) {
    if (!Arguments.empty())
      return usageError(*this,
                        "expects REGISTER RULES or --operator, not both");
    return checkDocument(Values);
  }
  if (Values.count("in-force") + Values.count("output") > 0)
    return usageError(*this, "--in-force and --output go with --operator FILE");
  if (Arguments.size() != 2)
    return usageError(
        *this, "expects the files REGISTER and RULES, or --operator FILE");
  return checkSource(Arguments[0], Arguments[1]);
}

exit_code check_command::checkSource(const std::string &Register,
                                     const std::string &Rules) const {
  checked<config_source> Source = readSourceFiles(Register, Rules);
  checked<snapshot_ptr> Compiled = Source.and_then(compile);
  if (!Compiled) {
    printErrors(Compiled.error());
    return exit_code::check_failed;
  }
  for (const error &Warning : findWarnings(**Compiled))
    std::cerr << "warning: " << Warning.text() << '\n';
  std::cout << "valid: " << (*Compiled)->services().size() << " services, "
            << (*Compiled)->routes().size() << " routes, "
            << (*Compiled)->moves().size() << " moves, digest "
            << (*Compiled)->digest() << '\n';
  return exit_code::done;
}

exit_code check_command::checkDocument(const option_values &Values) const {
  std::string Output =
      Values.count("output") > 0 ? Values["output"].as<std::string>() : "text";
  if (Output != "text" && Output != "json")
    return usageError(*this, "--output is neither text nor json");
  error_list Errors;
  auto Read = [&](const char *Option) -> std::optional<std::string> {
    if (Values.count(Option) == 0)
      return std::nullopt;
    result<std::string> Text = readFile(Values[Option].as<std::string>());
    if (Text)
      return *Text;
    Errors.push_back(Text.error());
    return std::nullopt;
  };
  std::optional<std::string> Document = Read("operator");
  std::optional<std::string> InForce = Read("in-force");
  if (!Errors.empty()) {
    printErrors(Errors);
    return exit_code::check_failed;
  }
  operator_report Report = checkOperatorDocument(Format, *Document, InForce);
  if (Output == "json")
    printJson(Report, std::cout);
  else
    printText(Report, std::cout);
  return Report.isValid() ? exit_code::done : exit_code::check_failed;
}

} // namespace chivebeam
