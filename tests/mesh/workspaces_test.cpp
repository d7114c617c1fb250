// Tests which calls run on behalf of a workspace, and that no API key gets past
// the entry node.
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

namespace json = boost::json;

json::object route(std::string Name, bool AllowsAnonymous) {
  return {{"name", Name},          {"prefix", "/" + Name + "/"},
          {"routeType", "safe"},   {"timeoutS", 2},
          {"targetLatencyS", 0.2}, {"service", "desk"},
          {"maxAttempts", 2},      {"allowAnonymous", AllowsAnonymous}};
}

/// Stores a configuration with these workspaces.
void configureWith(mesh_fixture &Mesh, std::uint64_t Number,
                   json::array Workspaces) {
  json::object Config{
      {"version", Number},
      {"services",
       {json::object{{"name", "desk"}, {"maxConnections", 110}},
        json::object{{"name", "kassa"}, {"maxConnections", 110}}}},
      {"tenants", std::move(Workspaces)},
      {"virtualHosts",
       {json::object{{"host", "shop.example"},
                     {"paths", {route("desk", false), route("open", true)}}}}}};
  Mesh.store().put("op/config", json::serialize(Config));
}

/// Stores a configuration in which the workspace "north" holds Keys.
void configure(mesh_fixture &Mesh, std::uint64_t Number, json::array Keys) {
  configureWith(Mesh, Number,
                {json::object{{"name", "north"}, {"apiKeys", Keys}}});
}

/// Returns an id that starts with Prefix, of a call that is not promoted.
std::string idOfUnpromoted(std::string Prefix) {
  while (priorityOfCall(1, request_id(Prefix)) == 0)
    Prefix += "x";
  return Prefix;
}

/// Inserts a header field into a request.
std::string with(std::string Request, const std::string &Field) {
  return Request.insert(Request.find("\r\n") + 2, Field + "\r\n");
}

/// Waits until the node knows that its configuration is the newest. Until then
/// it says 503 to an unknown key.
awaitable<void> current(mesh_fixture &Mesh, std::size_t Node) {
  unsigned Status = 503;
  for (unsigned Call = 0; Status == 503; ++Call)
    Status = statusOf(co_await Mesh.call(
        Node, Mesh.get("/desk/0", "early-" + std::to_string(Call))));
  BOOST_TEST(Status == 401u);
}

} // namespace

BOOST_AUTO_TEST_SUITE(workspaces)

// Answers the rule that a backend server only runs calls of known keys, sees
// the workspace whatever the caller sent, and never sees a key.
BOOST_AUTO_TEST_CASE(a_backend_server_sees_the_workspace_and_never_the_key) {
  mesh_fixture Mesh;
  configure(Mesh, 1, {"key-1", "key-2"});
  Mesh.addNode("desk");
  Mesh.addNode("kassa");
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await current(Mesh, 1);
    // Node 1 has no server of this service, so the call passes between nodes.
    auto Answer = co_await Mesh.call(
        1, with(with(Mesh.get("/desk/1", "a"), "credential: key-2"),
                "tenant: forged"));
    BOOST_TEST(statusOf(Answer) == 200u);
    BOOST_REQUIRE(Mesh.worker(0).Received.size() == 1u);
    const auto &Received = Mesh.worker(0).Received[0];
    BOOST_TEST(Received["Tenant"] == "north");
    BOOST_TEST(Received.count("Tenant") == 1u);
    BOOST_TEST(!Received.count("Credential"));
    Answer = co_await Mesh.call(1, Mesh.get("/desk/2", "b"));
    BOOST_TEST(statusOf(Answer) == 401u);
    Answer =
        co_await Mesh.call(1, with(Mesh.get("/open/2", "c"), "Tenant: forged"));
    BOOST_TEST(statusOf(Answer) == 200u);
    BOOST_REQUIRE(Mesh.worker(0).Received.size() == 2u);
    BOOST_TEST(!Mesh.worker(0).Received[1].count("Tenant"));
  });
}

// Answers a caller without a known key that sends a large body: it is refused
// before any of the body arrives.
BOOST_AUTO_TEST_CASE(an_unknown_key_is_refused_before_the_body) {
  mesh_fixture Mesh;
  configure(Mesh, 1, {"key-1"});
  Mesh.addNode("desk");
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await current(Mesh, 0);
    std::string Request = with(Mesh.post("/desk/1", "a", std::string(9, 'x')),
                               "Credential: key-9");
    Request.resize(Request.size() - 9);
    auto Answer = co_await Mesh.call(0, Request);
    BOOST_TEST(statusOf(Answer) == 401u);
    BOOST_TEST(Mesh.worker(0).Received.empty());
  });
}

// Answers a key that is removed while its caller is connected, also between a
// request's header and its body.
BOOST_AUTO_TEST_CASE(a_removed_key_is_refused_on_open_connections) {
  mesh_fixture Mesh;
  configure(Mesh, 1, {"key-1", "key-2"});
  Mesh.addNode("desk");
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await current(Mesh, 0);
    caller Used(Mesh.context());
    co_await Used.connect(Mesh.node(0).settings().Callers);
    auto Answer =
        co_await Used.call(with(Mesh.get("/desk/1", "a"), "Credential: key-1"));
    BOOST_TEST(statusOf(Answer) == 200u);
    caller Sending(Mesh.context());
    co_await Sending.connect(Mesh.node(0).settings().Callers);
    std::string Request = with(Mesh.post("/desk/1", "b", "body"),
                               "Credential: key-1\r\nExpect: 100-continue");
    co_await Sending.send(Request.substr(0, Request.size() - 4));
    co_await Sending.readLine(); // the node has accepted the header
    configure(Mesh, 2, {"key-2"});
    co_await Mesh.until([&] { return Mesh.hasConfig(0, 2); });
    co_await Sending.send("body");
    Answer = co_await Sending.read();
    BOOST_TEST(statusOf(Answer) == 401u);
    Answer =
        co_await Used.call(with(Mesh.get("/desk/2", "c"), "Credential: key-1"));
    BOOST_TEST(statusOf(Answer) == 401u);
    Answer =
        co_await Used.call(with(Mesh.get("/desk/3", "d"), "Credential: key-2"));
    BOOST_TEST(statusOf(Answer) == 200u);
    BOOST_TEST(Mesh.worker(0).Received.size() == 2u);
  });
}

// Answers a backend server with all slots busy: a call of a workspace with a
// higher priority goes before calls that arrived earlier.
BOOST_AUTO_TEST_CASE(the_priority_of_a_workspace_orders_waiting_calls) {
  mesh_fixture Mesh;
  configureWith(Mesh, 1,
                {json::object{{"name", "north"}, {"apiKeys", {"key-1"}}},
                 json::object{{"name", "south"},
                              {"apiKeys", {"key-2"}},
                              {"priority", 2}}});
  Mesh.addNode("desk", "zone-a", 1);
  bool AllSent = false;
  Mesh.worker(0).Script.MayAnswer = [&] { return AllSent; };
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await current(Mesh, 0);
    std::vector<std::unique_ptr<caller>> Callers;
    for (const char *Key : {"key-1", "key-2", "key-2", "key-1"}) {
      std::string Number = std::to_string(Callers.size());
      Callers.push_back(std::make_unique<caller>(Mesh.context()));
      co_await Callers.back()->connect(Mesh.node(0).settings().Callers);
      co_await Callers.back()->send(
          with(Mesh.get("/desk/" + Number, idOfUnpromoted(Number)),
               std::string("Credential: ") + Key));
      co_await Mesh.pause(milliseconds(20));
    }
    AllSent = true;
    for (auto &Caller : Callers)
      BOOST_TEST(statusOf(co_await Caller->read()) == 200u);
    std::vector<std::string> Order;
    for (const auto &Request : Mesh.worker(0).Received)
      Order.emplace_back(Request.target());
    BOOST_TEST(Order == (std::vector<std::string>{"/desk/0", "/desk/3",
                                                  "/desk/1", "/desk/2"}),
               boost::test_tools::per_element());
  });
}

BOOST_AUTO_TEST_SUITE_END()
