#include "wire/packed_text.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace chivebeam {

namespace {

namespace zlib = boost::beast::zlib;

/// The fastest level: the processor is as scarce as the link.
constexpr int PackLevel = 1;
constexpr int WindowBits = 15;
constexpr int MemoryLevel = 8;
constexpr std::size_t ChunkBytes = 64 << 10;

error damaged(std::string Message) {
  return {error_kind::invalid_input, "", std::move(Message),
          "check that the sender is a chivebeam node of the same version"};
}

} // namespace

std::string packText(std::string_view Text) {
  zlib::deflate_stream Stream;
  Stream.reset(PackLevel, WindowBits, MemoryLevel, zlib::Strategy::normal);
  std::string Packed(Stream.upper_bound(Text.size()), '\0');
  zlib::z_params Params;
  Params.next_in = Text.data();
  Params.avail_in = Text.size();
  Params.next_out = Packed.data();
  Params.avail_out = Packed.size();
  // With room for everything this ends in one step.
  boost::system::error_code Code;
  Stream.write(Params, zlib::Flush::finish, Code);
  Packed.resize(Params.total_out);
  return Packed;
}

result<std::string> unpackText(std::string_view Packed, std::size_t MaxBytes) {
  zlib::inflate_stream Stream;
  std::string Text;
  zlib::z_params Params;
  Params.next_in = Packed.data();
  Params.avail_in = Packed.size();
  boost::system::error_code Code;
  while (Code != zlib::error::end_of_stream) {
    if (Text.size() >= MaxBytes)
      return tl::unexpected(damaged("a packed text that is too large"));
    Text.resize(Text.size() + ChunkBytes);
    Params.next_out = Text.data() + Params.total_out;
    Params.avail_out = Text.size() - Params.total_out;
    Stream.write(Params, zlib::Flush::sync, Code);
    if (Code && Code != zlib::error::end_of_stream &&
        Code != zlib::error::need_buffers)
      return tl::unexpected(damaged("a packed text that is damaged"));
    bool Stuck = Code != zlib::error::end_of_stream && Params.avail_in == 0 &&
                 Params.avail_out > 0;
    if (Stuck)
      return tl::unexpected(damaged("a packed text that is cut off"));
  }
  Text.resize(Params.total_out);
  return Text;
}

} // namespace chivebeam
