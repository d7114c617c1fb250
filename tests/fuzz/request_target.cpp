#include "fuzz/request_target.h"

#include "data/request_checks.h"
#include "fuzz/fuzz_checks.h"
#include "fuzz/piece_reader.h"
#include "mesh/header_list.h"
#include "mesh/request_decoder.h"
#include "platform/http_protocol.h"

namespace chivebeam::fuzz {

namespace {

// Small, so that short inputs reach the limits.
constexpr std::uint64_t MaxHeaderBytes = 512;
constexpr std::uint64_t MaxBodyBytes = 1'024;
constexpr std::uint64_t BudgetBytes = 4'096;
constexpr std::uint64_t FieldBytes = 128;
constexpr std::size_t MaxUnparsedBytes = 64 << 10;

/// The connection of a caller, which sends the bytes of the input.
class caller_connection {
public:
  explicit caller_connection(std::string_view Bytes) : Pieces(Bytes) {}

  /// Reads the next request as caller_session does. Returns false if no other
  /// may follow.
  bool readRequest();

private:
  bool readHeader(bounded_request_parser &Parser);
  bool readBody(bounded_request_parser &Parser, body_reservation &Held);
  bool receive();

  piece_reader Pieces;
  request_decoder Decoder;
  body_budget Budget{
      std::make_shared<body_account>(BudgetBytes, 0, BudgetBytes),
      body_kind::request};
};

std::size_t countOf(const http::fields &Fields) {
  return static_cast<std::size_t>(std::distance(Fields.begin(), Fields.end()));
}

bool areEqual(const header_list &Left, const header_list &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const header_field &One, const header_field &Other) {
                      return One.Name == Other.Name && One.Text == Other.Text;
                    });
}

/// Requires that the backend server reads the same header as the node did.
void requireSameMeaning(const http::request<http::string_body> &Request) {
  header_list Fields = endToEndFields(Request.base());
  std::string Head;
  Head.append(std::string(Request.method_string())).append(" ");
  Head.append(std::string(Request.target())).append(" HTTP/1.1\r\n");
  for (const header_field &Field : Fields)
    Head.append(Field.Name).append(": ").append(Field.Text).append("\r\n");
  Head.append("\r\n");
  http::request_parser<http::empty_body> Parser;
  error_code Code;
  std::size_t Used = Parser.put(asio::buffer(Head), Code);
  require(!Code && Parser.is_done() && Used == Head.size(),
          "what is passed on is no request: " + Code.message());
  const auto &Read = Parser.get();
  require(Read.method_string() == Request.method_string() &&
              Read.target() == Request.target() &&
              areEqual(endToEndFields(Read.base()), Fields),
          "what is passed on is another request");
}

bool caller_connection::receive() {
  if (Pieces.atEnd())
    return false;
  std::string_view Piece = Pieces.next();
  asio::buffer_copy(Decoder.prepare(Piece.size()), asio::buffer(Piece));
  Decoder.commit(Piece.size());
  return true;
}

bool caller_connection::readHeader(bounded_request_parser &Parser) {
  error_code Code = Decoder.parseHeader(Parser);
  while (!Code && !Parser.is_header_done()) {
    require(Decoder.unparsedBytes() <= MaxHeaderBytes,
            "a header is awaited that is over its limit");
    if (!receive())
      return false;
    Code = Decoder.parseHeader(Parser);
  }
  return !Code;
}

bool caller_connection::readBody(bounded_request_parser &Parser,
                                 body_reservation &Held) {
  error_code Code = Decoder.parseBody(Parser, Held);
  while (!Code && !Parser.is_done()) {
    require(Held.bytes() >= Parser.get().body().size(),
            "a body takes more memory than is reserved");
    require(Decoder.unparsedBytes() <= MaxUnparsedBytes,
            "too many bytes wait to be parsed");
    if (!receive())
      return false;
    Code = Decoder.parseBody(Parser, Held);
  }
  return !Code;
}

bool caller_connection::readRequest() {
  bounded_request_parser Parser;
  Parser.limitTo(MaxHeaderBytes, MaxBodyBytes);
  if (!readHeader(Parser))
    return false;
  const http::request_header<> Header = Parser.get().base();
  require(fieldBytes(Header) <= MaxHeaderBytes, "a header is over its limit");
  if (checkRequest(Header))
    return false;
  platform::http_call_protocol().readMetadata(Header);
  std::uint64_t Length = Parser.content_length().value_or(0);
  require(Length <= MaxBodyBytes, "a body is announced over its limit");
  std::optional<body_reservation> Held =
      Budget.reserve(Length + FieldBytes * countOf(Header));
  if (!Held || !readBody(Parser, *Held))
    return false;
  http::request<http::string_body> Request = Parser.release();
  require(Request.body().size() <= MaxBodyBytes, "a body is over its limit");
  require(Held->bytes() >=
              Request.body().size() + FieldBytes * countOf(Request.base()),
          "a request takes more memory than is reserved");
  require(areEqual(endToEndFields(Request.base()), endToEndFields(Header)),
          "a field was added after the header was checked");
  requireSameMeaning(Request);
  return Request.keep_alive();
}

} // namespace

void runRequest(std::string_view Bytes) {
  caller_connection Connection(Bytes);
  while (Connection.readRequest())
    ;
}

} // namespace chivebeam::fuzz
