// Clients that take all connections of the service behind the readiness, the
// metrics and the reports.
#include <boost/test/unit_test.hpp>

#include "net/http_service.h"
#include "stand_ins/scripted_http.h"

using namespace chivebeam;
using namespace chivebeam::tests;

namespace {

constexpr std::size_t MaxConnections = 4;
constexpr std::size_t Crowd = 3 * MaxConnections;
const std::string Probe = "GET /readiness HTTP/1.1\r\nHost: node\r\n\r\n";

/// A service whose requests to /wait run until Released.
struct control_door {
  control_door()
      : Service(
            Context, 4 << 10,
            [this](const http_request &Request,
                   const address &) -> awaitable<http_response> {
              ++Running;
              while (Request.target() == "/wait" && !Released)
                co_await sleepFor(milliseconds(5));
              --Running;
              co_return makeResponse(http::status::ok, "");
            },
            MaxConnections),
        Door(*Service.listen({"127.0.0.1", 0})) {}

  /// Opens connections that send these bytes and stay open.
  awaitable<void> join(std::string Bytes) {
    for (std::size_t Number = 0; Number < Crowd; ++Number) {
      Clients.push_back(std::make_unique<caller>(Context));
      co_await Clients.back()->connect(Door);
      co_await Clients.back()->send(Bytes);
      co_await sleepFor(milliseconds(5));
    }
  }

  awaitable<unsigned> probe() {
    caller Caller(Context);
    co_await Caller.connect(Door);
    auto Answer = co_await Caller.call(Probe);
    co_return Answer ? Answer->result_int() : 0;
  }

  void run(std::function<awaitable<void>()> Test) {
    bool Ended = false;
    asio::co_spawn(Context, Test(), [&](const std::exception_ptr &Failure) {
      Ended = !Failure;
      Context.stop();
    });
    Context.run_for(seconds(20));
    BOOST_TEST(Ended);
  }

  asio::io_context Context{1};
  http_service Service;
  address Door;
  std::vector<std::unique_ptr<caller>> Clients;
  std::size_t Running = 0;
  bool Released = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_doors)

BOOST_AUTO_TEST_CASE(requests_that_stop_half_way_don_t_keep_out_a_probe) {
  control_door Service;
  Service.run([&]() -> awaitable<void> {
    co_await Service.join("GET /readiness HTTP/1.1\r\n");
    unsigned Status = co_await Service.probe();
    BOOST_TEST(Status == 200u);
  });
}

// Guards against descriptors that are used up by requests that all run.
BOOST_AUTO_TEST_CASE(requests_that_run_are_bounded_as_well) {
  control_door Service;
  Service.run([&]() -> awaitable<void> {
    co_await Service.join("GET /wait HTTP/1.1\r\nHost: node\r\n\r\n");
    BOOST_TEST(Service.Running == MaxConnections);
    Service.Released = true;
    while (Service.Running > 0)
      co_await sleepFor(milliseconds(5));
    unsigned Status = co_await Service.probe();
    BOOST_TEST(Status == 200u);
  });
}

BOOST_AUTO_TEST_SUITE_END()
