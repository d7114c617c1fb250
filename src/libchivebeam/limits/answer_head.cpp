#include "limits/answer_head.h"

#include <algorithm>

namespace chivebeam {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view VersionStart = "HTTP/1.";
constexpr std::size_t StatusAt = 9; ///< after "HTTP/1.1 "
constexpr std::size_t StatusDigits = 3;
constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;

bool isDigit(char Char) { return Char >= '0' && Char <= '9'; }

char toLower(char Char) {
  return Char >= 'A' && Char <= 'Z' ? static_cast<char>(Char - 'A' + 'a')
                                    : Char;
}

bool sameName(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) { return toLower(A) == toLower(B); });
}

bool isTokenChar(char Char) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  char Lower = toLower(Char);
  return isDigit(Char) || (Lower >= 'a' && Lower <= 'z') ||
         Marks.find(Char) != std::string_view::npos;
}

/// True for a byte that the text of a field or a reason may hold.
bool isTextChar(char Char) {
  constexpr unsigned char Delete = 0x7f;
  auto Byte = static_cast<unsigned char>(Char);
  return (Byte >= ' ' && Byte != Delete) || Char == '\t';
}

bool isText(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), isTextChar);
}

std::string_view trim(std::string_view Text) {
  std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

std::optional<answer_head_fault> checkStatusLine(std::string_view Line) {
  std::size_t ReasonAt = StatusAt + StatusDigits;
  bool IsComplete =
      Line.size() > ReasonAt && mayBeginAnswer(Line) &&
      std::all_of(Line.begin() + StatusAt,
                  Line.begin() + static_cast<std::ptrdiff_t>(ReasonAt),
                  isDigit) &&
      Line[ReasonAt] == ' ' && isText(Line.substr(ReasonAt));
  if (!IsComplete)
    return answer_head_fault::status_line;
  unsigned Status = 0;
  for (char Digit : Line.substr(StatusAt, StatusDigits))
    Status = 10 * Status + static_cast<unsigned>(Digit - '0');
  // No request asks for another protocol.
  if (Status < MinStatus || Status > MaxStatus || Status == SwitchingProtocols)
    return answer_head_fault::status;
  return std::nullopt;
}

/// The fields of a head that say where its body ends.
class framing_fields {
public:
  explicit framing_fields(bool IsHttp10) : IsHttp10(IsHttp10) {}

  void add(std::string_view Name, std::string_view Text) {
    if (sameName(Name, "Content-Length")) {
      ++Lengths;
      IsValid = IsValid && !Text.empty() &&
                std::all_of(Text.begin(), Text.end(), isDigit);
    } else if (sameName(Name, "Transfer-Encoding")) {
      ++Encodings;
      IsValid = IsValid && sameName(Text, "chunked");
    }
  }
  bool isUnambiguous() const {
    return IsValid && Lengths + Encodings <= 1 && !(IsHttp10 && Encodings > 0);
  }

private:
  bool IsHttp10;
  bool IsValid = true;
  unsigned Lengths = 0;
  unsigned Encodings = 0;
};

std::optional<answer_head_fault> checkField(std::string_view Line,
                                            framing_fields &Framing) {
  if (Line.front() == ' ' || Line.front() == '\t')
    return answer_head_fault::folded_line;
  std::size_t Colon = Line.find(':');
  std::string_view Name = Line.substr(0, Colon);
  if (Colon == std::string_view::npos || Name.empty() ||
      !std::all_of(Name.begin(), Name.end(), isTokenChar))
    return answer_head_fault::field_name;
  std::string_view Text = Line.substr(Colon + 1);
  if (!isText(Text))
    return answer_head_fault::field_value;
  Framing.add(Name, trim(Text));
  return std::nullopt;
}

} // namespace

std::string_view toString(answer_head_fault Fault) {
  switch (Fault) {
  case answer_head_fault::status_line:
    return "status_line";
  case answer_head_fault::status:
    return "status";
  case answer_head_fault::field_name:
    return "field_name";
  case answer_head_fault::field_value:
    return "field_value";
  case answer_head_fault::folded_line:
    return "folded_line";
  case answer_head_fault::framing:
    return "framing";
  case answer_head_fault::too_many_fields:
    return "too_many_fields";
  }
  return "status_line";
}

std::size_t findHeadEnd(std::string_view Bytes, std::size_t Searched) {
  std::size_t From =
      Searched < HeadEnd.size() ? 0 : Searched - (HeadEnd.size() - 1);
  std::size_t At = Bytes.find(HeadEnd, From);
  return At == std::string_view::npos ? 0 : At + HeadEnd.size();
}

bool mayBeginAnswer(std::string_view Bytes) {
  std::size_t Size = std::min(Bytes.size(), VersionStart.size());
  if (Bytes.substr(0, Size) != VersionStart.substr(0, Size))
    return false;
  if (Bytes.size() > Size && Bytes[Size] != '0' && Bytes[Size] != '1')
    return false;
  return Bytes.size() < StatusAt || Bytes[StatusAt - 1] == ' ';
}

std::optional<answer_head_fault> checkAnswerHead(std::string_view Head) {
  std::size_t End = Head.find(LineEnd);
  if (auto Fault = checkStatusLine(Head.substr(0, End)))
    return Fault;
  framing_fields Framing(Head[VersionStart.size()] == '0');
  std::size_t Fields = 0;
  for (Head.remove_prefix(End + LineEnd.size());; ++Fields) {
    End = Head.find(LineEnd);
    if (End == 0 || End == std::string_view::npos)
      break;
    if (Fields >= MaxAnswerFields)
      return answer_head_fault::too_many_fields;
    if (auto Fault = checkField(Head.substr(0, End), Framing))
      return Fault;
    Head.remove_prefix(End + LineEnd.size());
  }
  if (!Framing.isUnambiguous())
    return answer_head_fault::framing;
  return std::nullopt;
}

} // namespace chivebeam
