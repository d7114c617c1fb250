#pragma once

#include <string>
#include <string_view>

namespace chivebeam {

/// Formats a number for the Prometheus text format. The functions of this file
/// are thread safe.
std::string formatMetricNumber(double Number);
/// Escapes backslashes, quotes and newlines in a label value.
std::string escapeLabel(std::string_view Value);
/// Appends one sample; Labels may be empty.
void appendMetric(std::string &Text, std::string_view Name,
                  std::string_view Labels, double Value);

} // namespace chivebeam
