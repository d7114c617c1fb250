// Tests entries of the store and reports of servers that no node has written:
// each may cost only itself.
#include <boost/test/unit_test.hpp>

#include "mesh_fixture.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

/// A watcher's record with this peer address and this count of slots.
std::string record(const std::string &Peer, const std::string &Slots = "4") {
  return R"({"node":"odd","peer":")" + Peer +
         R"(","domain":"zone-b","worker":"w-odd","born_ms":1,"report":1,)"
         R"("change":1,"watches":true,"service":"kassa","version":"v1",)"
         R"("slots":)" +
         Slots + R"(,"state":1,"cold_us":0})";
}

std::vector<std::string> oddRecords() {
  std::vector<std::string> Texts;
  for (std::string Peer :
       {"300.1.1.1:80", "1.2.3:80", "1.2.3.4.5:80", ":::::80", "a:b:c:80",
        "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:", ""})
    Texts.push_back(record(Peer));
  for (std::string Slots : {"1e400", "99999999999999999999", "-1", "1.5"})
    Texts.push_back(record("127.0.0.1:9", Slots));
  Texts.push_back(std::string(10'000, '['));
  Texts.push_back("{\"node\":" + std::string(10'000, '[') +
                  std::string(10'000, ']') + "}");
  Texts.push_back(std::string(2 << 20, 'x'));
  Texts.push_back("\xff\xfe{\"node\":\"odd\"}");
  Texts.push_back("");
  return Texts;
}

/// Puts each text under keys of all kinds that nodes read.
void putOddEntries(mesh_fixture &Mesh) {
  unsigned Number = 0;
  for (const std::string &Text : oddRecords()) {
    std::string Suffix = std::to_string(Number++);
    for (std::string Prefix :
         {"chivebeam/watcher/zone-b/", "chivebeam/watcher/zone-a/1",
          "chivebeam/move/odd-", "chivebeam/odd-", "op/rollout/odd-", "op/odd-",
          "op/odd-\xff\xfe"})
      Mesh.store().put(Prefix + Suffix, Text);
  }
}

awaitable<void> checkServed(mesh_fixture &Mesh, std::string Id) {
  for (std::size_t Index = 0; Index < Mesh.size(); ++Index) {
    auto Answer = co_await Mesh.call(
        Index, Mesh.get("/kassa/1", Id + std::to_string(Index)));
    BOOST_TEST(statusOf(Answer) == 200u);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_entry)

// Guards against nodes that end, or follow the store no more, because of an
// entry of another writer.
BOOST_AUTO_TEST_CASE(odd_entries_end_no_node_and_hide_no_change) {
  mesh_fixture Mesh({"desk", "kassa", "kassa"});
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    putOddEntries(Mesh);
    co_await Mesh.pause(seconds(3));
    co_await checkServed(Mesh, "watched-");
    Mesh.configure(2, {"desk", "kassa"});
    for (std::size_t Index = 0; Index < Mesh.size(); ++Index)
      co_await Mesh.until([&] { return Mesh.hasConfig(Index, 2); });
    // A new process reads them in a listing.
    co_await Mesh.replaceNode(0);
    co_await Mesh.report(0);
    co_await Mesh.until([&] { return Mesh.node(0).knownServers() == 3; });
    co_await checkServed(Mesh, "listed-");
  });
}

// Guards against nodes that never become watchers, and write to the store
// without end, because an entry of another writer is in the place of a slot.
BOOST_AUTO_TEST_CASE(odd_entries_in_the_slots_of_watchers_are_replaced) {
  mesh_fixture Mesh;
  Mesh.store().put("chivebeam/watcher/zone-a/0", "no record");
  Mesh.store().put("chivebeam/watcher/zone-a/1", record("300.1.1.1:80"));
  Mesh.configure(1, {"desk", "kassa"});
  Mesh.addNode("desk");
  Mesh.addNode("kassa");
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    co_await Mesh.until([&] { return Mesh.watchersOf("zone-a").size() == 2; });
  });
}

// Guards against a node that ends when it calls a server whose report has no
// usable address.
BOOST_AUTO_TEST_CASE(a_report_without_a_usable_address_is_refused) {
  mesh_fixture Mesh({"desk", "kassa"});
  Mesh.run([&]() -> awaitable<void> {
    co_await Mesh.ready();
    for (std::string At : {"300.1.1.1:80", "1.2.3:80", ":::::80", "127.0.0.1:0",
                           "127.0.0.1:65536"}) {
      result<http_response> Answer = co_await httpCall(
          Mesh.node(1).settings().WorkerReports,
          makeRequest(http::verb::put, "/instances/w-odd",
                      R"({"address":")" + At +
                          R"(","born":9,"info":{"service":"kassa",)"
                          R"("version":"v1","zone":"z","slots":4},)"
                          R"("status":{"state":"ready","sequence":9,)"
                          R"("coldRemainingS":0}})"),
          seconds(5), 1 << 16);
      BOOST_REQUIRE(Answer);
      BOOST_TEST(Answer->result_int() == 400u, At);
    }
    co_await checkServed(Mesh, "after-");
  });
}

BOOST_AUTO_TEST_SUITE_END()
