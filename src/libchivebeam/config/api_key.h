#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace chivebeam {

/// A secret that identifies the workspace of a call. It can't be printed or
/// converted back into text, so that it appears in no log, metric or message.
/// Thread safety: same as std::string.
class api_key {
public:
  api_key() = default;
  explicit api_key(std::string Value) : Secret(std::move(Value)) {}

  bool empty() const { return Secret.empty(); }
  /// Returns a hash for an index. Equal keys have equal hashes.
  std::size_t hash() const { return std::hash<std::string>()(Secret); }

  /// Compares the bytes of keys of equal length in constant time, so that the
  /// time reveals nothing about a key that is guessed.
  friend bool operator==(const api_key &Left, const api_key &Right) {
    if (Left.Secret.size() != Right.Secret.size())
      return false;
    unsigned Difference = 0;
    for (std::size_t Index = 0; Index < Left.Secret.size(); ++Index)
      Difference |=
          static_cast<unsigned>(Left.Secret[Index] ^ Right.Secret[Index]);
    return Difference == 0;
  }

private:
  friend class snapshot_builder; // the digest of a configuration covers its
                                 // keys
  std::string_view secret() const { return Secret; }

  std::string Secret;
};

} // namespace chivebeam
