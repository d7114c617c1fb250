#include "commands/operator_check.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include <boost/json.hpp>

#include "base/duplicate_key_check.h"
#include "config/config_comparison.h"
#include "config/config_review.h"

namespace chivebeam {

namespace json = boost::json;

namespace {

/// As deep as the compiler's parser goes.
constexpr std::size_t MaxDepth = 32;
constexpr std::string_view WholeDocument = "document";

std::string_view severityName(finding_severity Severity) {
  return Severity == finding_severity::error ? "error" : "warning";
}

void appendAll(const error_list &Errors, finding_severity Severity,
               const std::string &Prefix, finding_list &Findings) {
  for (const error &Error : Errors) {
    Findings.push_back({Severity, Error});
    std::string &Path = Findings.back().Detail.Path;
    if (Path.empty())
      Path = WholeDocument;
    Path.insert(0, Prefix);
  }
}

void append(finding_list More, finding_list &Findings) {
  std::move(More.begin(), More.end(), std::back_inserter(Findings));
}

/// Compiles the document to send. Appends the errors and returns null if nodes
/// would refuse it.
snapshot_ptr compileNew(const operator_document_format &Format,
                        const std::string &Text, finding_list &Findings) {
  checked<snapshot_ptr> Compiled = Format.compile(Text);
  if (Compiled)
    return *Compiled;
  appendAll(Compiled.error(), finding_severity::error, "", Findings);
  return nullptr;
}

/// Compiles the document in force. Appends warnings and returns null if nodes
/// have refused it: the new document may be its repair.
snapshot_ptr compileInForce(const operator_document_format &Format,
                            const std::string &Text, finding_list &Findings) {
  checked<snapshot_ptr> Compiled = Format.compile(Text);
  if (Compiled)
    return *Compiled;
  Findings.push_back(
      {finding_severity::warning,
       {error_kind::invalid_input, "in force",
        "nodes refuse this document and keep an older version, so version and "
        "changes can't be checked",
        "give the last document that nodes took, or send a version above all "
        "earlier ones"}});
  appendAll(Compiled.error(), finding_severity::warning,
            "in force: ", Findings);
  return nullptr;
}

std::size_t count(const finding_list &Findings, finding_severity Severity) {
  return static_cast<std::size_t>(std::count_if(
      Findings.begin(), Findings.end(), [Severity](const finding &Finding) {
        return Finding.Severity == Severity;
      }));
}

/// Returns the number and the noun, in the plural if needed.
std::string countText(std::size_t Count, const std::string &Noun) {
  return std::to_string(Count) + " " + Noun + (Count == 1 ? "" : "s");
}

/// Returns Text with control bytes as \xNN, so that names in a document can't
/// forge lines.
std::string printable(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789abcdef";
  constexpr unsigned char Delete = 0x7f;
  std::string Out;
  for (char Byte : Text) {
    auto Code = static_cast<unsigned char>(Byte);
    if (Code >= ' ' && Code != Delete)
      Out += Byte;
    else
      Out.append("\\x").append({Digits[Code / 16], Digits[Code % 16]});
  }
  return Out;
}

json::object toJson(const finding &Finding) {
  json::object Out;
  Out["severity"] = severityName(Finding.Severity);
  Out["path"] = Finding.Detail.Path;
  Out["problem"] = Finding.Detail.Message;
  Out["remedy"] = Finding.Detail.Remedy;
  return Out;
}

json::object toJson(const config_change &Change) {
  json::object Out;
  Out["kind"] = toString(Change.Kind);
  Out["path"] = Change.Path;
  Out["what"] = Change.What;
  Out["effect"] = Change.Effect;
  return Out;
}

template <typename Item> json::array toArray(const std::vector<Item> &Items) {
  json::array Out;
  for (const Item &Each : Items)
    Out.emplace_back(toJson(Each));
  return Out;
}

} // namespace

bool operator_report::isValid() const {
  return count(Findings, finding_severity::error) == 0;
}

operator_report
checkOperatorDocument(const operator_document_format &Format,
                      const std::string &Text,
                      const std::optional<std::string> &InForce) {
  operator_report Report;
  Report.Config = compileNew(Format, Text, Report.Findings);
  appendAll(Format.findIgnored(Text), finding_severity::warning, "",
            Report.Findings);
  if (Report.Config) {
    // In a refused document, the doubled name may be an API key.
    if (std::optional<error> Duplicate = findDuplicateKey(Text, MaxDepth))
      appendAll({*Duplicate}, finding_severity::error, "", Report.Findings);
    append(reviewConfig(*Report.Config), Report.Findings);
  }
  if (InForce)
    Report.InForce = compileInForce(Format, *InForce, Report.Findings);
  if (Report.Config && Report.InForce) {
    append(reviewUpdate(*Report.InForce, *Report.Config), Report.Findings);
    Report.Changes = compareConfigs(*Report.InForce, *Report.Config);
  }
  std::stable_partition(Report.Findings.begin(), Report.Findings.end(),
                        [](const finding &Finding) {
                          return Finding.Severity == finding_severity::error;
                        });
  return Report;
}

void printText(const operator_report &Report, std::ostream &Out) {
  for (const finding &Finding : Report.Findings)
    Out << severityName(Finding.Severity) << ": "
        << printable(Finding.Detail.text()) << '\n';
  for (const config_change &Change : Report.Changes)
    Out << toString(Change.Kind) << ": " << printable(Change.Path)
        << (Change.What.empty() ? "" : ": " + printable(Change.What)) << "; "
        << printable(Change.Effect) << '\n';
  Out << (Report.isValid() ? "valid: " : "not valid: ");
  if (Report.Config)
    Out << "version " << Report.Config->number() << ", "
        << countText(Report.Config->services().size(), "service") << ", "
        << countText(Report.Config->routes().size(), "route") << ", "
        << countText(Report.Config->workspaces().size(), "workspace") << ", ";
  Out << countText(count(Report.Findings, finding_severity::error), "error")
      << ", "
      << countText(count(Report.Findings, finding_severity::warning),
                   "warning");
  if (Report.Config && Report.InForce)
    Out << ", " << countText(Report.Changes.size(), "change") << " to version "
        << Report.InForce->number();
  Out << '\n';
}

void printJson(const operator_report &Report, std::ostream &Out) {
  json::object Document;
  Document["valid"] = Report.isValid();
  if (Report.Config)
    Document["version"] = Report.Config->number().value();
  if (Report.InForce)
    Document["in_force"] = Report.InForce->number().value();
  Document["findings"] = toArray(Report.Findings);
  Document["changes"] = toArray(Report.Changes);
  Out << json::serialize(Document) << '\n';
}

} // namespace chivebeam
