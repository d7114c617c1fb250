#include "sessions/journal_text.h"

#include <algorithm>

namespace chivebeam {

namespace {

/// Lines that are never dropped: they hold the start and the end of the move.
constexpr std::size_t ProtectedFirstLines = 1;
constexpr std::size_t ProtectedLastLines = 2;
/// Space reserved for the line that counts dropped lines.
constexpr std::size_t DroppedNoticeBytes = 100;

} // namespace

void journal_text::add(std::string Line) {
  Bytes += Line.size() + 1;
  Lines.push_back(std::move(Line));
  while (Bytes + DroppedNoticeBytes > MaxBytes &&
         Lines.size() > ProtectedFirstLines + ProtectedLastLines)
    dropLargestLine();
}

void journal_text::dropLargestLine() {
  auto First = Lines.begin() + ProtectedFirstLines;
  auto Last = Lines.end() - ProtectedLastLines;
  auto Largest = std::max_element(
      First, Last, [](const std::string &Left, const std::string &Right) {
        return Left.size() < Right.size();
      });
  Bytes -= Largest->size() + 1;
  Lines.erase(Largest);
  ++Dropped;
}

std::string journal_text::text() const {
  std::string Text;
  Text.reserve(Bytes + DroppedNoticeBytes);
  for (const std::string &Line : Lines)
    Text.append(Line).append("\n");
  if (Dropped > 0)
    Text += "{\"event\":\"journal_thinned\",\"dropped_lines\":" +
            std::to_string(Dropped) + "}\n";
  return Text;
}

} // namespace chivebeam
