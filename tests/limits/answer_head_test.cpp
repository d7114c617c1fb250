// Tests which heads of answers are passed on.
#include <boost/test/unit_test.hpp>

#include "limits/answer_head.h"

using namespace chivebeam;
using namespace std::string_literals;

namespace {

/// An answer's head with this status line and these fields.
std::string head(const std::string &Line, const std::string &Fields = "") {
  return Line + "\r\n" + Fields + "\r\n";
}

std::string ok(const std::string &Fields) {
  return head("HTTP/1.1 200 OK", Fields);
}

std::string manyFields(std::size_t Count) {
  std::string Fields;
  for (std::size_t Field = 0; Field < Count; ++Field)
    Fields += "A:\r\n";
  return Fields;
}

} // namespace

// Guards against sound answers that are lost to a check that is too strict.
BOOST_AUTO_TEST_CASE(sound_heads_pass) {
  for (const std::string &Head :
       {head("HTTP/1.1 200 OK"), head("HTTP/1.0 200 OK"), head("HTTP/1.1 200 "),
        head("HTTP/1.1 100 Continue"), head("HTTP/1.1 102 Processing"),
        head("HTTP/1.1 599 Odd"), head("HTTP/1.1 204 No Content"),
        head("HTTP/1.1 404 Nicht da \xfc"), ok("A: b\r\n"), ok("A:b\r\n"),
        ok("A:\r\n"), ok("A:\t b c\t\r\n"), ok("A: \xff\x80\r\n"),
        ok("!#$%&'*+-.^_`|~09azAZ: b\r\n"), ok("Content-Length: 0\r\n"),
        ok("content-length:\t12 \r\n"), ok("Transfer-Encoding: Chunked\r\n"),
        ok(manyFields(MaxAnswerFields))}) {
    auto Fault = checkAnswerHead(Head);
    BOOST_TEST(!Fault.has_value(),
               Head << (Fault ? std::string(toString(*Fault)) : ""));
  }
}

// Guards against heads that two readers take differently, or that are no HTTP.
BOOST_AUTO_TEST_CASE(faulty_heads_are_refused) {
  using enum answer_head_fault;
  const std::pair<std::string, answer_head_fault> Table[] = {
      {head(""), status_line},
      {head("200 OK"), status_line},
      {head("HTTP/1.1 200"), status_line},
      {head("http/1.1 200 OK"), status_line},
      {head("HTTP/1.2 200 OK"), status_line},
      {head("HTTP/2.0 200 OK"), status_line},
      {head("HTTP/1.1  200 OK"), status_line},
      {head("HTTP/1.1 20 OK"), status_line},
      {head("HTTP/1.1 2000 OK"), status_line},
      {head("HTTP/1.1 +20 OK"), status_line},
      {head("HTTP/1.1 2x0 OK"), status_line},
      {head("HTTP/1.1 200-OK"), status_line},
      {head("HTTP/1.1 200 O\x01K"), status_line},
      {head("HTTP/1.1 200 O\nK"), status_line},
      {head("HTTP/1.1 000 None"), status},
      {head("HTTP/1.1 099 None"), status},
      {head("HTTP/1.1 101 Switching Protocols"), status},
      {head("HTTP/1.1 600 None"), status},
      {head("HTTP/1.1 999 None"), status},
      {ok("A b: c\r\n"), field_name},
      {ok("A : c\r\n"), field_name},
      {ok("A\t: c\r\n"), field_name},
      {ok("A\x01: c\r\n"), field_name},
      {ok("A\0: c\r\n"s), field_name},
      {ok("A\x7f: c\r\n"), field_name},
      {ok("A\rB: c\r\n"), field_name},
      {ok("A\nB: c\r\n"), field_name},
      {ok("A\xe4: c\r\n"), field_name},
      {ok("A/B: c\r\n"), field_name},
      {ok(": c\r\n"), field_name},
      {ok("no colon\r\n"), field_name},
      {ok("A: b\x01\r\n"), field_value},
      {ok("A: b\0\r\n"s), field_value},
      {ok("A: b\x7f\r\n"), field_value},
      {ok("A: b\rc\r\n"), field_value},
      {ok("A: b\nContent-Length: 3\r\n"), field_value},
      {ok(" A: b\r\n"), folded_line},
      {ok("A: b\r\n c\r\n"), folded_line},
      {ok("A: b\r\n\tc\r\n"), folded_line},
      {ok("Content-Length: 3\r\nContent-Length: 4\r\n"), framing},
      {ok("Content-Length: 3\r\nContent-Length: 3\r\n"), framing},
      {ok("Content-Length: 3, 3\r\n"), framing},
      {ok("Content-Length: -3\r\n"), framing},
      {ok("Content-Length:\r\n"), framing},
      {ok("Content-Length: 0x3\r\n"), framing},
      {ok("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), framing},
      {ok("Transfer-Encoding: gzip\r\n"), framing},
      {ok("Transfer-Encoding: gzip, chunked\r\n"), framing},
      {ok("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
       framing},
      {head("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n"), framing},
      {ok(manyFields(MaxAnswerFields + 1)), too_many_fields},
  };
  for (const auto &[Head, Expected] : Table) {
    auto Fault = checkAnswerHead(Head);
    BOOST_REQUIRE(Fault.has_value());
    BOOST_TEST(toString(*Fault) == toString(Expected), Head);
  }
}

BOOST_AUTO_TEST_CASE(the_end_of_a_head_is_found_in_any_pieces) {
  const std::string Head = ok("A: b\r\n");
  const std::string Bytes = Head + "\r\n\r\nbody";
  for (std::size_t Size = 0; Size <= Bytes.size(); ++Size)
    for (std::size_t Searched = 0; Searched < std::min(Size, Head.size());
         ++Searched)
      BOOST_TEST(findHeadEnd(Bytes.substr(0, Size), Searched) ==
                 (Size < Head.size() ? 0 : Head.size()));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_answer_are_refused_at_once) {
  const std::string Head = ok("");
  for (std::size_t Size = 0; Size <= Head.size(); ++Size)
    BOOST_TEST(mayBeginAnswer(Head.substr(0, Size)));
  for (const std::string &Bytes :
       {"x"s, "\r\nHTTP/1.1"s, "HTTP/2"s, "HTTP/1.x"s, "HTTP/1.12"s})
    BOOST_TEST(!mayBeginAnswer(Bytes), Bytes);
}
