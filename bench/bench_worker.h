#pragma once

#include <deque>

#include <boost/json.hpp>

#include "net/clock.h"
#include "net/http_service.h"

namespace chivebeam::bench {

/// Behaviour of a backend server of a bench.
struct worker_behaviour {
  unsigned AnnouncedSlots = 6; ///< slots that it announces
  unsigned MaxConcurrent = 6;  ///< calls that it runs at once
  microseconds ServiceTime{0};
  bool Fails = false;  ///< answers 503 at once
  bool Resets = false; ///< closes each connection after a request
};

/// A backend server on loopback. It announces itself to its node, runs at most
/// MaxConcurrent calls at a time, and forwards a call for /SERVICE/chain/N to
/// NextServer as /SERVICE/chain/N-1. Runs on one io_context.
class bench_worker {
public:
  bench_worker(asio::io_context &IoContext, worker_behaviour Initial)
      : Context(IoContext), Acceptor(IoContext), Behaviour(Initial) {
    Bound = openAcceptor(Acceptor, address{"127.0.0.1", 0}).value();
    asio::co_spawn(Context, acceptLoop(), asio::detached);
  }

  const address &bound() const { return Bound; }
  void announceTo(const address &Control) {
    asio::co_spawn(Context, announceLoop(Control), asio::detached);
  }
  void forwardTo(const address &To) { NextServer = To; }
  void setBehaviour(worker_behaviour New) { Behaviour = New; }
  std::uint64_t requests() const { return Requests; }

private:
  awaitable<void> announceLoop(address Control) {
    for (;;) {
      boost::json::object Body;
      Body["service"] = "desk";
      Body["version"] = "1.0";
      Body["address"] = Bound.text();
      Body["slots"] = Behaviour.AnnouncedSlots;
      Body["leaving"] = false;
      http_request Request =
          makeRequest(http::verb::post, "/chivebeam/v1/announce",
                      boost::json::serialize(Body));
      co_await httpCall(Control, std::move(Request), milliseconds(1'000),
                        1 << 20);
      co_await sleepFor(milliseconds(500));
    }
  }

  awaitable<void> acceptLoop() {
    for (;;) {
      error_code Code;
      tcp::socket Socket = co_await Acceptor.async_accept(orError(Code));
      if (!Code)
        asio::co_spawn(Context, serve(std::move(Socket)), asio::detached);
    }
  }

  awaitable<void> serve(tcp::socket Socket) {
    error_code Code;
    Socket.set_option(tcp::no_delay(true), Code);
    beast::tcp_stream Stream(std::move(Socket));
    beast::flat_buffer Buffer;
    while (!Code) {
      http_request Request;
      co_await http::async_read(Stream, Buffer, Request, orError(Code));
      if (Code)
        break;
      ++Requests;
      if (Behaviour.Resets)
        break;
      http_response Response = co_await handle(Request);
      Response.keep_alive(true);
      Response.prepare_payload();
      co_await http::async_write(Stream, Response, orError(Code));
    }
  }

  awaitable<http_response> handle(const http_request &Request) {
    if (Behaviour.Fails)
      co_return makeResponse(http::status::service_unavailable, "{}");
    std::string Target(Request.target());
    std::size_t At = Target.find("/chain/");
    if (At != std::string::npos) {
      int Depth = std::stoi(Target.substr(At + 7));
      if (Depth > 1)
        co_return co_await forward(Depth - 1);
    }
    if (Behaviour.ServiceTime.count() > 0)
      co_await runInSlot();
    co_return makeResponse(http::status::ok, "{}");
  }

  awaitable<void> runInSlot() {
    while (Running >= Behaviour.MaxConcurrent) {
      asio::steady_timer SlotTimer(Context,
                                   asio::steady_timer::time_point::max());
      Queue.push_back(&SlotTimer);
      error_code Ignored;
      co_await SlotTimer.async_wait(orError(Ignored));
    }
    ++Running;
    co_await sleepFor(Behaviour.ServiceTime);
    --Running;
    if (Queue.empty())
      co_return;
    Queue.front()->cancel();
    Queue.pop_front();
  }

  awaitable<http_response> forward(int Depth) {
    std::unique_ptr<http_client> Client;
    if (Clients.empty()) {
      Client = std::make_unique<http_client>(NextServer, 1 << 20);
    } else {
      Client = std::move(Clients.back());
      Clients.pop_back();
    }
    std::string Target = "/desk/chain/" + std::to_string(Depth);
    http_request Request = makeRequest(http::verb::get, Target, "");
    result<http_response> Response =
        co_await Client->call(std::move(Request), milliseconds(5'000));
    if (!Response)
      co_return makeResponse(http::status::bad_gateway, "{}");
    Clients.push_back(std::move(Client));
    co_return makeResponse(Response->result(), "{}");
  }

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  worker_behaviour Behaviour;
  address Bound;
  address NextServer;
  std::vector<std::unique_ptr<http_client>> Clients;
  std::deque<asio::steady_timer *> Queue;
  unsigned Running = 0;
  std::uint64_t Requests = 0;
};

} // namespace chivebeam::bench
