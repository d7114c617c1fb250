#include "wire/compressed_text.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <boost/endian/conversion.hpp>

namespace chivebeam {

namespace {

namespace endian = boost::endian;
namespace zlib = boost::beast::zlib;

/// The fastest level, because CPU time is as limited as bandwidth.
constexpr int CompressionLevel = 1;
constexpr int WindowBits = 15;
constexpr int MemoryLevel = 8;
constexpr std::size_t ChunkBytes = 64 << 10;
/// Size of the prefix that holds the length of the text. It makes a truncated
/// stream detectable, which could otherwise be read as a shorter text.
constexpr std::size_t SizePrefixBytes = 8;
/// Zero bytes after the stream: Beast's inflater needs more bits than the last
/// code has before it detects the end of the stream.
constexpr std::size_t PaddingBytes = 4;

error invalidText(std::string Message) {
  return {error_kind::invalid_input, "", std::move(Message),
          "check that the sender is a chivebeam node of the same version"};
}

} // namespace

std::string compressText(std::string_view Text) {
  std::string Compressed(SizePrefixBytes, '\0');
  endian::store_little_u64(reinterpret_cast<unsigned char *>(Compressed.data()),
                           Text.size());
  zlib::deflate_stream Stream;
  Stream.reset(CompressionLevel, WindowBits, MemoryLevel,
               zlib::Strategy::normal);
  zlib::z_params Params;
  Params.next_in = Text.data();
  Params.avail_in = Text.size();
  boost::system::error_code Code;
  while (Code != zlib::error::end_of_stream) {
    std::size_t Used = SizePrefixBytes + Params.total_out;
    Compressed.resize(Used + ChunkBytes);
    Params.next_out = Compressed.data() + Used;
    Params.avail_out = ChunkBytes;
    Stream.write(Params, zlib::Flush::finish, Code);
  }
  Compressed.resize(SizePrefixBytes + Params.total_out);
  Compressed.append(PaddingBytes, '\0');
  return Compressed;
}

result<std::string> decompressText(std::string_view Compressed,
                                   std::size_t MaxBytes) {
  if (Compressed.size() < SizePrefixBytes)
    return tl::unexpected(
        invalidText("the compressed text is too short to hold its size"));
  std::uint64_t Size = endian::load_little_u64(
      reinterpret_cast<const unsigned char *>(Compressed.data()));
  if (Size > MaxBytes)
    return tl::unexpected(
        invalidText("the compressed text exceeds the size limit"));
  Compressed.remove_prefix(SizePrefixBytes);
  // One extra byte, so that a text longer than Size is detected.
  std::string Text(Size + 1, '\0');
  zlib::z_params Params;
  Params.next_in = Compressed.data();
  Params.avail_in = Compressed.size();
  Params.next_out = Text.data();
  Params.avail_out = Text.size();
  zlib::inflate_stream Stream;
  boost::system::error_code Code;
  Stream.write(Params, zlib::Flush::sync, Code);
  if (Code != zlib::error::end_of_stream || Params.total_out != Size)
    return tl::unexpected(
        invalidText("the compressed text is truncated or damaged"));
  Text.resize(Size);
  return Text;
}

} // namespace chivebeam
