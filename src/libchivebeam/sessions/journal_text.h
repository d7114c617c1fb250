#pragma once

#include <string>
#include <vector>

namespace chivebeam {

/// The lines of one move's journal, kept below the size that the store accepts
/// for one value. When it grows too large, the largest line between the first
/// line and the last two is dropped; a final line gives the number of dropped
/// lines. Not thread safe.
class journal_text {
public:
  static constexpr std::size_t MaxBytes = 700'000;

  /// Adds a line. \pre Line contains no newline.
  void add(std::string Line);
  std::size_t lines() const { return Lines.size(); }
  std::size_t dropped() const { return Dropped; }
  /// Returns all lines, each followed by a newline.
  std::string text() const;

private:
  void dropLargestLine();

  std::vector<std::string> Lines;
  std::size_t Bytes = 0;
  std::size_t Dropped = 0;
};

} // namespace chivebeam
