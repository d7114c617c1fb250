#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace chivebeam {

/// Largest head of an answer, with its status line and its last empty line.
inline constexpr std::size_t MaxAnswerHeadBytes = 64 << 10;
/// Largest number of fields in the head of an answer. Each takes more memory
/// than its text.
inline constexpr std::size_t MaxAnswerFields = 1'000;

/// Why the head of an answer is refused.
enum class answer_head_fault {
  status_line = 1, ///< it is not "HTTP/1.0" or "HTTP/1.1", a status, a reason
  status,          ///< the status is not 100 or 102 to 599
  field_name,      ///< a name is empty or no token
  field_value,     ///< a value holds a control byte
  folded_line,     ///< a line continues the one before it
  framing,         ///< the length of the body is ambiguous or unsupported
  too_many_fields  ///< there are more than MaxAnswerFields
};

std::string_view toString(answer_head_fault Fault);

/// Returns the bytes up to the end of the head that Bytes begin with; zero if
/// the head has not ended. The first Searched bytes are known not to contain
/// its end. Thread safe.
std::size_t findHeadEnd(std::string_view Bytes, std::size_t Searched);

/// False if no answer can begin with Bytes, which may be few. Thread safe.
bool mayBeginAnswer(std::string_view Bytes);

/// Returns why a complete head is none of an answer that can be passed on;
/// empty if it is one (RFC 9112). It is stricter than a parser must be: what
/// two readers may take differently is refused. Thread safe.
std::optional<answer_head_fault> checkAnswerHead(std::string_view Head);

} // namespace chivebeam
