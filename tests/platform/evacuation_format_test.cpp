// Tests what the operators' documents say about evacuated failure
// domains and cold starts, and that nodes tell each other the former.
#include <boost/test/unit_test.hpp>

#include "platform/operator_json_format.h"
#include "wire/peer_frame.h"

using namespace chivebeam;
using namespace chivebeam::platform;

namespace {

std::string configWith(const std::string &ServiceFields) {
  return R"({"version": 1, "virtualHosts": [],
             "services": [{"name": "desk")" +
         ServiceFields + "}]}";
}

} // namespace

BOOST_AUTO_TEST_CASE(an_evacuation_is_read_from_its_key_alone) {
  operator_json_format Format;
  BOOST_TEST(Format.evacuatedDomain("op/evacuate/zone-a")->str() == "zone-a");
  BOOST_TEST(!Format.evacuatedDomain("op/rollout/zone-a"));
  BOOST_TEST(!Format.isMoveOrder("op/evacuate/zone-a"));
}

// Answers services that say nothing of cold starts, and mistakes in what they
// say.
BOOST_AUTO_TEST_CASE(cold_starts_are_read_and_mistakes_are_refused) {
  operator_json_format Format;
  auto Read = [&](const std::string &Fields) {
    checked<snapshot_ptr> Config = Format.compile(configWith(Fields));
    BOOST_REQUIRE(Config);
    return *(*Config)->findService(service_name("desk"));
  };
  service_entry Cold = Read(R"(, "coldStartS": 3.0, "coldPerS": 14)");
  BOOST_TEST(Cold.ColdCallsPerSecond == 14);
  BOOST_TEST(Cold.ColdStart.count() == 3'000'000);
  BOOST_TEST(Read("").ColdCallsPerSecond == 0);
  BOOST_TEST(!Format.compile(configWith(R"(, "coldPerS": -1)")));
  BOOST_TEST(!Format.compile(configWith(R"(, "coldPerS": "14")")));
}

// Answers nodes of the version before, which send nothing of this.
BOOST_AUTO_TEST_CASE(frames_carry_evacuations_if_they_were_ever_ordered) {
  const instant Now = instant(seconds(1'000));
  auto Pass = [&](const peer_frame &Frame) {
    std::string Bytes = encodeFrameHead(Frame, Now);
    result<peer_frame> Back =
        decodeFrame(std::string_view(Bytes).substr(FramePrefixBytes), "", Now);
    BOOST_REQUIRE(Back);
    return Back->Evacuations;
  };
  peer_frame Frame;
  BOOST_TEST(!Pass(Frame));
  Frame.Evacuations = {store_era(2), store_revision(9), {failure_domain("a")}};
  BOOST_TEST((Pass(Frame) == Frame.Evacuations));
  Frame.Evacuations->Domains.clear();
  BOOST_TEST((Pass(Frame) == Frame.Evacuations));
}
