#include "wire/packed_text.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <boost/endian/conversion.hpp>

namespace chivebeam {

namespace {

namespace endian = boost::endian;
namespace zlib = boost::beast::zlib;

/// The fastest level: the processor is as scarce as the link.
constexpr int PackLevel = 1;
constexpr int WindowBits = 15;
constexpr int MemoryLevel = 8;
constexpr std::size_t ChunkBytes = 64 << 10;
/// The size of the text stands before the packed bytes, so that a stream that
/// was cut can't pass for a shorter text.
constexpr std::size_t SizeBytes = 8;
/// Beast's inflater wants more bits than the last code has before it sees that
/// the stream ends there.
constexpr std::size_t PaddingBytes = 4;

error damaged(std::string Message) {
  return {error_kind::invalid_input, "", std::move(Message),
          "check that the sender is a chivebeam node of the same version"};
}

} // namespace

std::string packText(std::string_view Text) {
  std::string Packed(SizeBytes, '\0');
  endian::store_little_u64(reinterpret_cast<unsigned char *>(Packed.data()),
                           Text.size());
  zlib::deflate_stream Stream;
  Stream.reset(PackLevel, WindowBits, MemoryLevel, zlib::Strategy::normal);
  zlib::z_params Params;
  Params.next_in = Text.data();
  Params.avail_in = Text.size();
  boost::system::error_code Code;
  while (Code != zlib::error::end_of_stream) {
    std::size_t Used = SizeBytes + Params.total_out;
    Packed.resize(Used + ChunkBytes);
    Params.next_out = Packed.data() + Used;
    Params.avail_out = ChunkBytes;
    Stream.write(Params, zlib::Flush::finish, Code);
  }
  Packed.resize(SizeBytes + Params.total_out);
  Packed.append(PaddingBytes, '\0');
  return Packed;
}

result<std::string> unpackText(std::string_view Packed, std::size_t MaxBytes) {
  if (Packed.size() < SizeBytes)
    return tl::unexpected(damaged("a packed text without its size"));
  std::uint64_t Size = endian::load_little_u64(
      reinterpret_cast<const unsigned char *>(Packed.data()));
  if (Size > MaxBytes)
    return tl::unexpected(damaged("a packed text that is too large"));
  Packed.remove_prefix(SizeBytes);
  // One byte more, so that a longer text shows.
  std::string Text(Size + 1, '\0');
  zlib::z_params Params;
  Params.next_in = Packed.data();
  Params.avail_in = Packed.size();
  Params.next_out = Text.data();
  Params.avail_out = Text.size();
  zlib::inflate_stream Stream;
  boost::system::error_code Code;
  Stream.write(Params, zlib::Flush::sync, Code);
  if (Code != zlib::error::end_of_stream || Params.total_out != Size)
    return tl::unexpected(damaged("a packed text that is cut or damaged"));
  Text.resize(Size);
  return Text;
}

} // namespace chivebeam
