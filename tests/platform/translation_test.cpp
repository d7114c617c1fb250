// Tests the conversion of the platform's documents, headers and reports to the
// project's types and back, and the encodings of frames, texts and records.
#include <boost/test/unit_test.hpp>

#include "mesh/mesh_records.h"
#include "platform/http_protocol.h"
#include "platform/operator_json_format.h"
#include "platform/settings_file.h"
#include "wire/compressed_text.h"
#include "wire/peer_frame.h"

using namespace chivebeam;
using namespace chivebeam::platform;

namespace {

const instant Now = instant(seconds(1'000));

const std::string Config = R"({
  "version": 7, "baseVersion": 5, "unknown": {"later": true},
  "services": [
    {"name": "desk", "healthCheckPath": "/health", "maxConnections": 110},
    {"name": "kassa", "healthCheckPath": "/health", "maxConnections": 110}],
  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000,
             "headerTimeoutS": 3, "idleTimeoutS": 15},
  "virtualHosts": [
    {"host": "a.example", "paths": [
      {"name": "r1", "prefix": "/x/", "routeType": "safe", "timeoutS": 0.8,
       "targetLatencyS": 0.2, "priority": 2, "maxAttempts": 2,
       "weightedServices": [{"service": "desk", "weight": 90},
                            {"service": "kassa", "weight": 10}]},
      {"name": "r2", "prefix": "/x/y/", "routeType": "unsafe", "timeoutS": 1,
       "targetLatencyS": 0.25, "priority": 1, "service": "kassa",
       "maxAttempts": 2}]},
    {"host": "b.example", "paths": [
      {"name": "r3", "prefix": "/x/", "routeType": "upload", "timeoutS": 1.2,
       "service": "desk", "maxAttempts": 1}]}]})";

std::string replaceOnce(std::string Text, const std::string &From,
                        const std::string &To) {
  std::size_t At = Text.find(From);
  BOOST_REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

http_request reportRequest(std::string Body) {
  return makeRequest(http::verb::put, "/instances/i-7", std::move(Body));
}

const std::string Report = R"({"address": "10.1.0.9:8080", "born": 123,
  "info": {"service": "desk", "version": "v1", "zone": "a", "slots": 18},
  "status": {"state": "ready", "sequence": 4, "coldRemainingS": 1.5}})";

const std::string Settings = R"({
  "nodeName": "sidecar-a-1", "role": "node", "zone": "a", "ip": "10.1.0.41",
  "listen": {"inbound": "10.1.0.41:8624", "outbound": "10.1.0.41:8629",
             "ready": "10.1.0.41:8625", "control": "10.1.0.41:8620"},
  "internalPortRange": [7600, 7615], "heartbeatIntervalS": 1.5,
  "limits": {"memoryMb": 260, "maxFileDescriptors": 4100},
  "bounds": {"gracePeriodS": 6, "retryBudgetRatio": 0.2,
             "retryBudgetSlack": 58, "budgetWindowS": 10},
  "applicationAddress": "10.1.0.41:8628", "service": "desk",
  "platform": {"address": "10.200.1.7:8627", "form": "kv"}})";

} // namespace

BOOST_AUTO_TEST_CASE(the_operator_s_document_is_compiled_to_routes) {
  checked<snapshot_ptr> Compiled = operator_json_format().compile(Config);
  BOOST_REQUIRE(Compiled);
  const snapshot &Snapshot = **Compiled;
  BOOST_TEST(Snapshot.number().value() == 7u);
  BOOST_TEST(Snapshot.callerLimits().MaxBodyBytes == 1'000u);
  const route_rule *Split = Snapshot.match("a.example", "/x/z", "GET");
  BOOST_REQUIRE(Split);
  BOOST_TEST(Split->Name.str() == "r1");
  BOOST_TEST(Split->Idempotent);
  BOOST_TEST(Split->Deadline.count() == 800);
  BOOST_TEST(Split->Goal.count() == 200);
  BOOST_TEST(Split->Urgency == 2u);
  BOOST_TEST(Split->MaxWorkers == 2u);
  BOOST_REQUIRE(Split->Split.size() == 2u);
  BOOST_TEST(Split->Split[0].Weight == 90u);
  const route_rule *Longer = Snapshot.match("a.example", "/x/y/z", "POST");
  BOOST_REQUIRE(Longer);
  BOOST_TEST(Longer->Name.str() == "r2");
  BOOST_TEST(!Longer->Idempotent);
  const route_rule *Upload = Snapshot.match("b.example", "/x/y/z", "POST");
  BOOST_REQUIRE(Upload);
  BOOST_TEST(Upload->Name.str() == "r3");
  BOOST_TEST(!Upload->Idempotent);
  BOOST_TEST(!Snapshot.match("c.example", "/x/", "GET"));
  BOOST_TEST(!Snapshot.match("a.example", "/x", "GET"));
}

BOOST_AUTO_TEST_CASE(a_download_may_run_more_than_once) {
  checked<snapshot_ptr> Compiled = operator_json_format().compile(
      replaceOnce(Config, "\"upload\"", "\"download\""));
  BOOST_REQUIRE(Compiled);
  BOOST_TEST((*Compiled)->match("b.example", "/x/z", "GET")->Idempotent);
}

BOOST_AUTO_TEST_CASE(a_document_with_any_mistake_is_refused_whole) {
  operator_json_format Format;
  for (const std::string &Bad :
       {std::string("{"), std::string("[]"),
        replaceOnce(Config, "7,", "\"7\","),
        replaceOnce(Config, "\"weight\": 90", "\"weight\": -1"),
        replaceOnce(Config, "\"timeoutS\": 0.8,", ""),
        replaceOnce(Config, "\"service\": \"kassa\",",
                    "\"service\": \"nobody\","),
        replaceOnce(Config, "\"host\": \"b.example\",", ""),
        replaceOnce(Config, "\"maxAttempts\": 2}", "\"maxAttempts\": 0.5}"),
        replaceOnce(Config, "\"prefix\": \"/x/y/\"", "\"prefix\": \"/x/\"")}) {
    checked<snapshot_ptr> Compiled = Format.compile(Bad);
    BOOST_TEST(!Compiled);
    if (!Compiled)
      BOOST_TEST(!Compiled.error().front().Remedy.empty());
  }
}

BOOST_AUTO_TEST_CASE(workspaces_are_read_and_wrong_ones_named_by_their_path) {
  auto Read = [](const std::string &Workspaces) {
    return operator_json_format().compile(replaceOnce(
        Config, "\"limits\"", "\"tenants\": [" + Workspaces + "], \"limits\""));
  };
  checked<snapshot_ptr> Compiled = Read(R"(
      {"name": "n", "apiKeys": ["k1", "k2"], "priority": 1, "ratePerS": 65.5,
       "burst": 10}, {"name": "m", "apiKeys": ["k3"], "ratePerS": 0, "burst": 3})");
  BOOST_REQUIRE(Compiled);
  const workspace *North = (*Compiled)->findWorkspaceOf(api_key("k2"));
  BOOST_REQUIRE(North);
  BOOST_TEST(North->Name.str() == "n");
  BOOST_TEST(North->Priority == 1u);
  BOOST_TEST((North->Cap == usage_cap{65.5, 10}));
  BOOST_TEST(!(*Compiled)->findWorkspace(workspace_name("m"))->Cap.isLimited());
  for (auto [Bad, Path] :
       {std::pair{R"({"name": "n", "apiKeys": ["k", "k"]})",
                  "/tenants/0/apiKeys/1"},
        std::pair{R"({"name": "n", "apiKeys": [7]})", "/tenants/0/apiKeys"},
        std::pair{R"({"name": "n", "apiKeys": [], "ratePerS": -1})",
                  "/tenants/0/ratePerS"},
        std::pair{R"({"apiKeys": []})", "/tenants/0/name"}}) {
    checked<snapshot_ptr> Refused = Read(Bad);
    BOOST_REQUIRE(!Refused);
    BOOST_TEST(Refused.error().front().Path == Path);
  }
}

BOOST_AUTO_TEST_CASE(a_move_order_is_read_and_its_status_written) {
  operator_json_format Format;
  BOOST_TEST(Format.isMoveOrder("op/rollout/desk"));
  BOOST_TEST(!Format.isMoveOrder("op/config"));
  result<move_order> Order = Format.readMoveOrder(
      R"({"service": "desk", "targetVersion": "v2", "durationS": 12.5})");
  BOOST_REQUIRE(Order);
  BOOST_TEST(Order->To.str() == "v2");
  BOOST_TEST(Order->Within.count() == 12'500'000);
  BOOST_TEST(!Format.readMoveOrder(R"({"service": "desk"})"));
  for (auto [Verdict, State] :
       {std::pair{move_verdict::none, "\"running\""},
        std::pair{move_verdict::done, "\"completed\""},
        std::pair{move_verdict::taken_back, "\"rolled_back\""}}) {
    std::string Text = Format.writeMoveStatus(service_name("desk"),
                                              version_name("v2"), Verdict);
    BOOST_TEST(Text.find(State) != std::string::npos);
    BOOST_TEST(Text.find("\"v2\"") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(each_answer_of_the_node_has_its_status) {
  http_call_protocol Protocol;
  std::map<own_answer, unsigned> Expected{
      {own_answer::no_route, 404},         {own_answer::not_ready, 503},
      {own_answer::not_run, 503},          {own_answer::may_have_run, 502},
      {own_answer::out_of_time, 504},      {own_answer::bad_request, 400},
      {own_answer::header_too_large, 431}, {own_answer::body_too_large, 413},
      {own_answer::too_slow, 408},         {own_answer::unauthorized, 401}};
  for (auto [Answer, Status] : Expected) {
    BOOST_TEST(Protocol.statusOf(Answer) == Status);
    header_list Fields =
        Protocol.fieldsOf(Answer, request_id("r"), milliseconds(250));
    const std::string *Wait = findField(Fields, "retry-after");
    BOOST_TEST((Wait != nullptr) == (Status == 503));
    if (Wait)
      BOOST_TEST(*Wait == "0.250");
  }
}

BOOST_AUTO_TEST_CASE(only_the_server_s_answer_can_say_that_a_call_did_not_run) {
  http_call_protocol Protocol;
  header_list Plain{{"Response-Signature", "s"}};
  header_list Refused{{"Not-Executed", "1"}};
  for (unsigned Status : {200u, 404u, 429u, 499u})
    BOOST_TEST(
        (Protocol.outcomeOf(Status, Plain) == attempt_outcome::answered));
  for (unsigned Status : {500u, 502u, 503u, 504u})
    BOOST_TEST(
        (Protocol.outcomeOf(Status, Plain) == attempt_outcome::server_failed));
  for (unsigned Status : {400u, 429u, 503u})
    BOOST_TEST((Protocol.outcomeOf(Status, Refused) ==
                attempt_outcome::server_refused));
  BOOST_TEST((Protocol.outcomeOf(421, {}) == attempt_outcome::server_refused));
}

BOOST_AUTO_TEST_CASE(the_fields_of_a_call_are_written_for_the_server) {
  http_call_protocol Protocol;
  header_list Fields{{"caller-service", "forged"},
                     {"deadline-ms", "9999"},
                     {"Expected-Instance", "forged"},
                     {"credential", "secret"},
                     {"Tenant", "forged"},
                     {"X-Own", "kept"}};
  Protocol.setCaller(Fields, service_name("desk"), workspace_name());
  BOOST_TEST(!findField(Fields, "Tenant"));
  BOOST_TEST(!findField(Fields, "Credential"));
  mesh_call Call;
  Call.Worker = worker_id("i-7");
  Protocol.addWorkerFields(Fields, Call, milliseconds(640));
  BOOST_TEST(Fields.size() == 4u);
  BOOST_TEST(*findField(Fields, "Caller-Service") == "desk");
  BOOST_TEST(*findField(Fields, "Deadline-Ms") == "640");
  BOOST_TEST(*findField(Fields, "Expected-Instance") == "i-7");
  BOOST_TEST(*findField(Fields, "X-Own") == "kept");
  BOOST_TEST(Protocol.parentOf(request_id("abc.1"))->str() == "abc");
  BOOST_TEST(!Protocol.parentOf(request_id("abc")));
}

BOOST_AUTO_TEST_CASE(a_report_is_read_and_an_invalid_one_is_refused) {
  http_worker_protocol Protocol;
  result<worker_message> Message = Protocol.read(reportRequest(Report), Now);
  BOOST_REQUIRE(Message);
  BOOST_TEST(Message->Worker.str() == "i-7");
  BOOST_TEST(Message->Report.Start.StartedAtMs == 123);
  BOOST_TEST(Message->Report.Sequence == 4u);
  BOOST_TEST(Message->Report.Worker.Slots == 18u);
  BOOST_TEST((Message->Report.Worker.ReadySince == Now + milliseconds(1'500)));
  for (const std::string &Bad :
       {std::string(), std::string("{}"), replaceOnce(Report, "18", "\"many\""),
        replaceOnce(Report, "18", "-3"),
        replaceOnce(Report, "ready", "sleeping"),
        replaceOnce(Report, "10.1.0.9:8080", "somewhere"),
        replaceOnce(Report, "\"sequence\": 4,", "")})
    BOOST_TEST(!Protocol.read(reportRequest(Bad), Now));
  BOOST_TEST(
      !Protocol.read(makeRequest(http::verb::get, "/instances/i", ""), Now));
  BOOST_TEST(
      !Protocol.read(makeRequest(http::verb::put, "/else", Report), Now));
  result<worker_message> Leaving = Protocol.read(
      makeRequest(http::verb::delete_, "/instances/i-7", R"({"born": 5})"),
      Now);
  BOOST_REQUIRE(Leaving);
  BOOST_TEST(Leaving->IsDeregistration);
  BOOST_TEST(Leaving->StartedAtMs.value() == 5);
}

BOOST_AUTO_TEST_CASE(settings_are_read_and_each_missing_one_is_named) {
  checked<mesh_settings> Read = readSettingsFile(Settings);
  BOOST_REQUIRE(Read);
  BOOST_TEST(Read->Node.str() == "sidecar-a-1");
  BOOST_TEST(Read->Callers.text() == "10.1.0.41:8629");
  BOOST_TEST(Read->Peers.text() == "10.1.0.41:7600");
  BOOST_TEST(Read->Store.text() == "10.200.1.7:8627");
  BOOST_TEST(Read->ReportInterval.count() == 1'500);
  BOOST_TEST(Read->RetryBudget.Slack == 58);
  for (const std::string Field : {"nodeName", "outbound", "gracePeriodS",
                                  "internalPortRange", "applicationAddress"}) {
    checked<mesh_settings> Without =
        readSettingsFile(replaceOnce(Settings, "\"" + Field, "\"x" + Field));
    BOOST_REQUIRE(!Without);
    BOOST_TEST(Without.error().front().text().find(Field) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(a_frame_is_unchanged_after_encoding_and_decoding) {
  peer_frame Frame;
  Frame.Kind = frame_kind::call;
  Frame.Call = 9;
  Frame.Config = config_number(3);
  mesh_call Call;
  Call.Id = request_id("r");
  Call.Service = service_name("desk");
  Call.Fields = {{"A", "1"}, {"B", "2"}};
  Call.Body = std::make_shared<const std::string>("body");
  Call.Deadline = Now + milliseconds(700);
  Call.Goal = Now - milliseconds(10);
  Call.Idempotent = true;
  Call.RefusedAtEntry = 5;
  Call.UsualDuration = milliseconds(60);
  Call.Workspace = workspace_name("north");
  Call.WorkspacePriority = 3;
  Call.OfferedBytes = 70'000;
  Frame.Request = Call;
  std::string Bytes = encodeFrameHead(Frame, Now);
  result<frame_sizes> Sizes = decodeFrameSizes(Bytes);
  BOOST_REQUIRE(Sizes);
  BOOST_TEST(Sizes->Body == 4u);
  std::string_view Head =
      std::string_view(Bytes).substr(FramePrefixBytes, Sizes->Head);
  result<peer_frame> Back = decodeFrame(Head, "body", Now + seconds(5));
  BOOST_REQUIRE(Back);
  BOOST_TEST(Back->Call == 9u);
  BOOST_TEST(Back->Request->Id.str() == "r");
  BOOST_TEST(Back->Request->Fields[1].Text == "2");
  BOOST_TEST(*Back->Request->Body == "body");
  BOOST_TEST((Back->Request->Deadline == Now + seconds(5) + milliseconds(700)));
  BOOST_TEST(Back->Request->RefusedAtEntry == 5u);
  BOOST_TEST(Back->Request->UsualDuration.count() == 60'000);
  BOOST_TEST(Back->Request->OfferedBytes == 70'000u);
  BOOST_TEST(Back->Request->Workspace.str() == "north");
  BOOST_TEST(Back->Request->WorkspacePriority == 3u);
  BOOST_TEST(!decodeFrame("garbage", "", Now));
  BOOST_TEST(!decodeFrameSizes(std::string(8, '\xff')));
}

BOOST_AUTO_TEST_CASE(a_packed_text_is_restored_and_a_damaged_one_is_refused) {
  constexpr std::size_t Limit = 1 << 20;
  std::string Text;
  for (int Route = 0; Route < 5'000; ++Route)
    Text += R"({"prefix": "/)" + std::to_string(Route) + R"(/"},)";
  std::string Packed = compressText(Text);
  BOOST_TEST(Packed.size() * 4 < Text.size());
  result<std::string> Back = decompressText(Packed, Limit);
  BOOST_REQUIRE(Back);
  BOOST_TEST((*Back == Text));
  // Short and incompressible texts; fuzzing found errors with them.
  for (std::size_t Size : {1U, 10U, 1'000U, 70'000U}) {
    std::string Random(Size, 'x');
    for (std::size_t Index = 0; Index < Size; Index += 7)
      Random[Index] = static_cast<char>(Index * 31);
    result<std::string> Same = decompressText(compressText(Random), Limit);
    BOOST_REQUIRE(Same);
    BOOST_TEST((*Same == Random));
  }
  result<std::string> Empty = decompressText(compressText(""), Limit);
  BOOST_REQUIRE(Empty);
  BOOST_TEST(Empty->empty());
  BOOST_TEST(!decompressText(Packed, Text.size() / 2));
  BOOST_TEST(!decompressText(std::string_view(Packed).substr(0, 100), Limit));
  BOOST_TEST(!decompressText("", Limit));
  BOOST_TEST(!decompressText(std::string(100, '\xff'), Limit));
}

BOOST_AUTO_TEST_CASE(
    a_stored_record_is_restored_and_an_invalid_one_is_refused) {
  home_record Record;
  Record.Node = node_id("n");
  Record.Peer = {"10.0.0.1", 7600};
  Record.Start = {worker_id("w"), -5};
  Record.Report = 8;
  Record.Worker = {service_name("desk"), version_name("v1"), 6,
                   worker_state::leaving, Now + seconds(2)};
  result<home_record> Back = readHomeRecord(writeHomeRecord(Record, Now), Now);
  BOOST_REQUIRE(Back);
  BOOST_TEST((*Back == Record));
  for (const std::string Bad :
       {"", "[]", "{}", R"({"node": "n", "peer": "x"})",
        R"({"node": "n", "peer": "1.2.3.4:5", "state": 9})"})
    BOOST_TEST(!readHomeRecord(Bad, Now));
}
