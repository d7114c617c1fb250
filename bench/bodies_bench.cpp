// Measures large bodies on a connection between two nodes.
//
// usage: bodies_bench latency [MEGABYTES]     small calls beside an upload,
// over
//                                             a relay of 1.25 MB/s
//        bodies_bench throughput [MEGABYTES]  uploads one after the other, on
//                                             loopback
#include <algorithm>
#include <cstdio>
#include <cstring>
#include <functional>

#include "mesh/mesh_state.h"
#include "mesh/peer_link.h"
#include "net/clock.h"
#include "platform/operator_json_format.h"

using namespace chivebeam;

namespace {

constexpr double RelayBytesPerSecond = 1.25e6;
constexpr std::size_t RelayPieceBytes = 4 << 10;
constexpr int RelayBufferBytes = 32 << 10;
constexpr milliseconds SmallCallInterval{20};
constexpr seconds QuietTime{5};
constexpr unsigned ThroughputRounds = 20;

/// Forwards bytes in one direction at a limited rate.
awaitable<void> forward(std::shared_ptr<tcp::socket> From,
                        std::shared_ptr<tcp::socket> To) {
  std::string Piece(RelayPieceBytes, ' ');
  instant FreeAt = currentTime();
  error_code Code;
  while (!Code) {
    std::size_t Size =
        co_await From->async_read_some(asio::buffer(Piece), orError(Code));
    auto Time = microseconds(static_cast<std::int64_t>(
        static_cast<double>(Size) * 1e6 / RelayBytesPerSecond));
    FreeAt = std::max(FreeAt, currentTime()) + Time;
    co_await sleepFor(FreeAt - currentTime());
    if (!Code)
      co_await asio::async_write(*To, asio::buffer(Piece.data(), Size),
                                 orError(Code));
  }
  To->close(Code);
}

/// Two nodes: a link, and a home node that answers each call once it has its
/// body.
class two_nodes {
public:
  explicit two_nodes(bool IsSlow)
      : State(settings(), Format), HomeAcceptor(Context, anyPort()),
        RelayAcceptor(Context, anyPort()) {
    tcp::endpoint Target =
        IsSlow ? RelayAcceptor.local_endpoint() : HomeAcceptor.local_endpoint();
    Link = std::make_shared<peer_link>(Context, node_id("home"),
                                       address{"127.0.0.1", Target.port()},
                                       State, Memory.Answers);
    asio::co_spawn(Context, acceptHome(), asio::detached);
    asio::co_spawn(Context, relay(), asio::detached);
  }

  /// Calls the home node; returns the time that it took, or nothing if the call
  /// failed.
  awaitable<std::optional<microseconds>> call(shared_body Body) {
    instant Started = currentTime();
    mesh_call Call;
    Call.Deadline = Started + std::chrono::minutes(2);
    Call.Body = std::move(Body);
    asio::steady_timer Answered(Context, std::chrono::minutes(2));
    bool IsServed = false;
    Link->call(std::move(Call), cancel_signal(), [&](mesh_answer Answer) {
      IsServed = Answer.Status == 200;
      Answered.cancel();
    });
    error_code Ignored;
    co_await Answered.async_wait(orError(Ignored));
    if (!IsServed)
      co_return std::nullopt;
    co_return currentTime() - Started;
  }

  asio::io_context Context{1};

private:
  static mesh_settings settings() {
    mesh_settings Settings;
    Settings.Node = node_id("entry");
    return Settings;
  }
  static tcp::endpoint anyPort() {
    return {asio::ip::make_address("127.0.0.1"), 0};
  }

  awaitable<void> relay() {
    error_code Code;
    auto Near = std::make_shared<tcp::socket>(
        co_await RelayAcceptor.async_accept(orError(Code)));
    auto Far = std::make_shared<tcp::socket>(Context, tcp::v4());
    for (const auto &Socket : {Near, Far}) {
      Socket->set_option(
          asio::socket_base::receive_buffer_size(RelayBufferBytes), Code);
      Socket->set_option(asio::socket_base::send_buffer_size(RelayBufferBytes),
                         Code);
    }
    co_await Far->async_connect(HomeAcceptor.local_endpoint(), orError(Code));
    asio::co_spawn(Context, forward(Near, Far), asio::detached);
    co_await forward(Far, Near);
  }

  awaitable<void> acceptHome() {
    error_code Code;
    tcp::socket Socket = co_await HomeAcceptor.async_accept(orError(Code));
    configurePeerSocket(Socket);
    Home = std::make_shared<frame_channel>(std::move(Socket));
    Home->start([this](peer_frame Frame) { onFrame(Frame); }, [] {});
  }

  void onFrame(const peer_frame &Frame) {
    if (Frame.Kind == frame_kind::call && Frame.Request->OfferedBytes > 0) {
      Missing[Frame.Call] = Frame.Request->OfferedBytes;
      peer_frame Request;
      Request.Kind = frame_kind::body_request;
      Request.Call = Frame.Call;
      Request.AcceptsParts = true;
      Home->send(Request);
      return;
    }
    bool IsBody =
        Frame.Kind == frame_kind::body || Frame.Kind == frame_kind::body_part;
    if (IsBody)
      Missing[Frame.Call] -= Frame.Body->size();
    if (Frame.Kind != frame_kind::call && (!IsBody || Missing[Frame.Call] > 0))
      return;
    peer_frame Reply;
    Reply.Kind = frame_kind::answer;
    Reply.Call = Frame.Call;
    Reply.Answer = emptyAnswer(attempt_outcome::answered, "");
    Reply.Answer->Status = 200;
    Home->send(Reply);
  }

  platform::operator_json_format Format;
  mesh_state State;
  body_memory Memory{body_account(256 << 20, door_limits())};
  tcp::acceptor HomeAcceptor;
  tcp::acceptor RelayAcceptor;
  std::shared_ptr<peer_link> Link;
  std::shared_ptr<frame_channel> Home;
  std::map<std::uint64_t, std::uint64_t> Missing;
};

shared_body bodyOf(std::size_t Megabytes) {
  return std::make_shared<const std::string>(Megabytes << 20, 'b');
}

void print(const char *Name, std::vector<microseconds> Times,
           std::size_t Failed) {
  std::sort(Times.begin(), Times.end());
  auto At = [&](std::size_t Percent) {
    return Times.empty() ? 0.0
                         : static_cast<double>(
                               Times[Times.size() * Percent / 100].count()) /
                               1e3;
  };
  std::printf("%s: %zu small calls, p50 %.2f ms, p99 %.2f ms, failed %zu\n",
              Name, Times.size(), At(50), At(99), Failed);
}

/// Sends small calls until IsDone.
awaitable<void> sendSmall(two_nodes &Nodes, const char *Name,
                          std::function<bool()> IsDone) {
  std::vector<microseconds> Times;
  std::size_t Failed = 0;
  std::size_t Open = 0;
  auto One = [&]() -> awaitable<void> {
    std::optional<microseconds> Time = co_await Nodes.call(nullptr);
    if (Time)
      Times.push_back(*Time);
    else
      ++Failed;
    --Open;
  };
  while (!IsDone()) {
    ++Open;
    asio::co_spawn(Nodes.Context, One(), asio::detached);
    co_await sleepFor(SmallCallInterval);
  }
  while (Open > 0)
    co_await sleepFor(SmallCallInterval);
  print(Name, std::move(Times), Failed);
}

awaitable<void> measureLatency(two_nodes &Nodes, std::size_t Megabytes) {
  instant QuietUntil = currentTime() + QuietTime;
  co_await sendSmall(Nodes, "quiet",
                     [&] { return currentTime() >= QuietUntil; });
  bool IsSent = false;
  asio::co_spawn(
      Nodes.Context,
      [&]() -> awaitable<void> {
        auto Time = co_await Nodes.call(bodyOf(Megabytes));
        std::printf("upload of %zu MB: %s, %.1f s\n", Megabytes,
                    Time ? "served" : "failed",
                    Time ? static_cast<double>(Time->count()) / 1e6 : 0.0);
        IsSent = true;
      },
      asio::detached);
  co_await sendSmall(Nodes, "beside the upload", [&] { return IsSent; });
  Nodes.Context.stop();
}

awaitable<void> measureThroughput(two_nodes &Nodes, std::size_t Megabytes) {
  shared_body Body = bodyOf(Megabytes);
  co_await Nodes.call(Body);
  instant Started = currentTime();
  std::size_t Failed = 0;
  for (unsigned Round = 0; Round < ThroughputRounds; ++Round)
    Failed += co_await Nodes.call(Body) ? 0 : 1;
  double Seconds = static_cast<double>((currentTime() - Started).count()) / 1e6;
  std::printf("%u uploads of %zu MB: %.0f MB/s, failed %zu\n", ThroughputRounds,
              Megabytes,
              static_cast<double>(ThroughputRounds * Megabytes) / Seconds,
              Failed);
  Nodes.Context.stop();
}

} // namespace

int main(int Count, char **Arguments) {
  bool IsLatency = Count > 1 && std::strcmp(Arguments[1], "latency") == 0;
  bool IsThroughput = Count > 1 && std::strcmp(Arguments[1], "throughput") == 0;
  if (!IsLatency && !IsThroughput) {
    std::puts("usage: bodies_bench latency|throughput [MEGABYTES]");
    return 2;
  }
  std::size_t Megabytes = Count > 2 ? std::stoul(Arguments[2]) : 40;
  two_nodes Nodes(IsLatency);
  asio::co_spawn(Nodes.Context,
                 IsLatency ? measureLatency(Nodes, Megabytes)
                           : measureThroughput(Nodes, Megabytes),
                 asio::detached);
  Nodes.Context.run();
}
