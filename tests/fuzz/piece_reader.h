#pragma once

#include <algorithm>
#include <string_view>

namespace chivebeam::fuzz {

/// Splits bytes into pieces of equal size, as they may arrive on a connection.
/// The first byte states the size: NUL for single bytes, a space for 17, "z"
/// for 233, at most 1,017.
class piece_reader {
public:
  static constexpr std::size_t MaxPieceBytes = 1 + 255 * 255 / 64;

  explicit piece_reader(std::string_view Bytes) {
    if (Bytes.empty())
      return;
    std::size_t First = static_cast<unsigned char>(Bytes.front());
    PieceBytes = 1 + First * First / 64;
    Rest = Bytes.substr(1);
  }

  bool atEnd() const { return Rest.empty(); }
  std::string_view next() {
    std::string_view Piece = Rest.substr(0, PieceBytes);
    Rest.remove_prefix(Piece.size());
    return Piece;
  }

private:
  std::size_t PieceBytes = 1;
  std::string_view Rest;
};

} // namespace chivebeam::fuzz
