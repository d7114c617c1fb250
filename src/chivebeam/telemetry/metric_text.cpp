#include "telemetry/metric_text.h"

#include <cstdio>

namespace chivebeam {

std::string formatMetricNumber(double Number) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.9g", Number);
  return Text;
}

std::string escapeLabel(std::string_view Value) {
  std::string Escaped;
  for (char Char : Value) {
    if (Char == '\\' || Char == '"')
      Escaped += '\\';
    if (Char == '\n')
      Escaped += "\\n";
    else
      Escaped += Char;
  }
  return Escaped;
}

void appendMetric(std::string &Text, std::string_view Name,
                  std::string_view Labels, double Value) {
  Text += Name;
  if (!Labels.empty())
    Text.append("{").append(Labels).append("}");
  Text.append(" ").append(formatMetricNumber(Value)).append("\n");
}

} // namespace chivebeam
