// A small blocking HTTP/1.1 layer for the stand-ins of review 3. One thread
// serves one connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;

inline time_point now() { return clock_type::now(); }
inline std::chrono::milliseconds ms(std::int64_t Count) {
  return std::chrono::milliseconds(Count);
}
inline void pause_ms(std::int64_t Count) {
  std::this_thread::sleep_for(ms(Count));
}

struct endpoint {
  std::string Ip;
  std::uint16_t Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

inline sockaddr_in to_sockaddr(const endpoint &At) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(At.Port);
  ::inet_pton(AF_INET, At.Ip.c_str(), &Address.sin_addr);
  return Address;
}

inline void set_timeout(int Socket, std::int64_t Millis) {
  Millis = std::max<std::int64_t>(Millis, 1);
  timeval Time{static_cast<time_t>(Millis / 1000),
               static_cast<suseconds_t>(Millis % 1000 * 1000)};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Time, sizeof Time);
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Time, sizeof Time);
}

inline void set_no_delay(int Socket) {
  int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
}

inline int listen_on(const endpoint &At) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  sockaddr_in Address = to_sockaddr(At);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) !=
          0 ||
      ::listen(Socket, 512) != 0) {
    ::close(Socket);
    return -1;
  }
  return Socket;
}

inline int connect_to(const endpoint &At, std::int64_t Millis) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  set_timeout(Socket, Millis);
  sockaddr_in Address = to_sockaddr(At);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof Address) != 0) {
    ::close(Socket);
    return -1;
  }
  set_no_delay(Socket);
  return Socket;
}

inline bool send_all(int Socket, std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Sent = ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

struct message {
  std::string Start; // the first line
  std::map<std::string, std::string> Fields; // names in lower case
  std::string Body;
  std::string Method, Target;
  int Status = 0;

  std::string field(const std::string &Name) const {
    auto Found = Fields.find(Name);
    return Found == Fields.end() ? std::string() : Found->second;
  }
  bool has(const std::string &Name) const { return Fields.count(Name) > 0; }
};

/// Reads messages from a connection; bytes that follow a message are kept.
class message_reader {
public:
  explicit message_reader(int Socket) : Socket(Socket) {}

  /// Returns the next message; empty at the end, after a time-out, or if the
  /// message is cut. Complete is false for an answer without a length.
  std::optional<message> next(bool IsAnswer) {
    std::size_t End;
    while ((End = Kept.find("\r\n\r\n")) == std::string::npos)
      if (!more())
        return std::nullopt;
    message Read;
    std::string Head = Kept.substr(0, End);
    Kept.erase(0, End + 4);
    std::size_t Line = Head.find("\r\n");
    Read.Start = Head.substr(0, Line);
    while (Line != std::string::npos) {
      std::size_t From = Line + 2;
      Line = Head.find("\r\n", From);
      std::string Field = Head.substr(
          From, Line == std::string::npos ? Line : Line - From);
      std::size_t Colon = Field.find(':');
      if (Colon == std::string::npos)
        continue;
      std::string Name = Field.substr(0, Colon);
      std::transform(Name.begin(), Name.end(), Name.begin(), ::tolower);
      std::size_t Text = Field.find_first_not_of(' ', Colon + 1);
      Read.Fields[Name] =
          Text == std::string::npos ? std::string() : Field.substr(Text);
    }
    std::size_t Space = Read.Start.find(' ');
    if (IsAnswer) {
      Read.Status = std::atoi(Read.Start.c_str() +
                              (Space == std::string::npos ? 0 : Space));
    } else if (Space != std::string::npos) {
      Read.Method = Read.Start.substr(0, Space);
      Read.Target = Read.Start.substr(
          Space + 1, Read.Start.rfind(' ') - Space - 1);
    }
    if (Read.field("transfer-encoding") == "chunked")
      return readChunks(Read);
    std::size_t Size =
        std::strtoull(Read.field("content-length").c_str(), nullptr, 10);
    while (Kept.size() < Size)
      if (!more())
        return std::nullopt;
    Read.Body = Kept.substr(0, Size);
    Kept.erase(0, Size);
    return Read;
  }
  bool hasKept() const { return !Kept.empty(); }
  /// How the last read ended.
  int lastError() const { return Error; }

private:
  std::optional<message> readChunks(message &Read) {
    for (;;) {
      std::size_t Line;
      while ((Line = Kept.find("\r\n")) == std::string::npos)
        if (!more())
          return std::nullopt;
      std::size_t Size = std::strtoull(Kept.c_str(), nullptr, 16);
      while (Kept.size() < Line + 2 + Size + 2)
        if (!more())
          return std::nullopt;
      Read.Body += Kept.substr(Line + 2, Size);
      Kept.erase(0, Line + 2 + Size + 2);
      if (Size == 0)
        return Read;
    }
  }
  bool more() {
    char Bytes[16384];
    ssize_t Got = ::recv(Socket, Bytes, sizeof Bytes, 0);
    Error = Got < 0 ? errno : 0;
    if (Got <= 0)
      return false;
    Kept.append(Bytes, static_cast<std::size_t>(Got));
    return true;
  }

  int Socket;
  int Error = 0;
  std::string Kept;
};

/// Accepts connections and serves each in a thread of its own. stop() closes
/// all of them, as the end of a process does.
class server {
public:
  using handler = std::function<void(int Socket)>;

  ~server() { stop(); }
  bool start(const endpoint &At, handler OnConnection) {
    Listener = listen_on(At);
    if (Listener < 0)
      return false;
    Serve = std::move(OnConnection);
    Acceptor = std::thread([this] { acceptLoop(); });
    return true;
  }
  void stop() {
    if (Listener < 0)
      return;
    Stopped = true;
    ::shutdown(Listener, SHUT_RDWR);
    Acceptor.join();
    ::close(Listener);
    Listener = -1;
    cutAll();
    std::unique_lock Lock(Mutex);
    Ended.wait_for(Lock, std::chrono::seconds(5),
                   [this] { return Open.empty(); });
  }
  /// Ends all open connections; new ones are accepted.
  void cutAll() {
    std::lock_guard Lock(Mutex);
    for (int Socket : Open)
      ::shutdown(Socket, SHUT_RDWR);
  }

private:
  void acceptLoop() {
    while (!Stopped) {
      int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0) {
        if (Stopped)
          return;
        pause_ms(5);
        continue;
      }
      set_no_delay(Socket);
      std::lock_guard Lock(Mutex);
      Open.insert(Socket);
      std::thread([this, Socket] {
        Serve(Socket);
        std::lock_guard EndLock(Mutex);
        Open.erase(Socket);
        ::close(Socket);
        Ended.notify_all();
      }).detach();
    }
  }

  int Listener = -1;
  std::atomic<bool> Stopped = false;
  std::thread Acceptor;
  handler Serve;
  std::mutex Mutex;
  std::condition_variable Ended;
  std::set<int> Open;
};

} // namespace review
