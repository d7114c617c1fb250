#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in toSockaddr(const endpoint &At) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<uint16_t>(At.Port));
  ::inet_pton(AF_INET, At.Ip.c_str(), &Address.sin_addr);
  return Address;
}

std::string lower(std::string Text) {
  for (char &Char : Text)
    Char = static_cast<char>(::tolower(static_cast<unsigned char>(Char)));
  return Text;
}

int millisUntil(steady::time_point Until) {
  auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Until - steady::now());
  return static_cast<int>(std::max<std::int64_t>(Left.count(), 0));
}

} // namespace

const char *toString(read_end End) {
  switch (End) {
  case read_end::complete:
    return "complete";
  case read_end::closed:
    return "closed";
  case read_end::reset:
    return "reset";
  case read_end::timeout:
    return "timeout";
  case read_end::malformed:
    return "malformed";
  }
  return "?";
}

std::string message::field(const std::string &Name) const {
  auto Found = Fields.find(lower(Name));
  return Found == Fields.end() ? std::string() : Found->second;
}

std::string message::word(int Index) const {
  std::size_t At = 0;
  for (; Index > 0 && At != std::string::npos; --Index) {
    At = Start.find(' ', At);
    At = At == std::string::npos ? At : At + 1;
  }
  return At == std::string::npos ? std::string()
                                 : Start.substr(At, Start.find(' ', At) - At);
}

int message::status() const { return std::atoi(word(1).c_str()); }

connection::connection(connection &&Other) noexcept
    : Fd(std::exchange(Other.Fd, -1)), Unread(std::move(Other.Unread)) {}

connection &connection::operator=(connection &&Other) noexcept {
  std::swap(Fd, Other.Fd);
  std::swap(Unread, Other.Unread);
  return *this;
}

connection::~connection() { close(); }

void connection::close() {
  if (Fd >= 0)
    ::close(std::exchange(Fd, -1));
}

void connection::reset() {
  linger Linger{1, 0};
  if (Fd >= 0)
    ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Linger, sizeof Linger);
  close();
}

bool connection::send(const std::string &Bytes) {
  for (std::size_t Sent = 0; Sent < Bytes.size();) {
    ssize_t Count = ::send(Fd, Bytes.data() + Sent, Bytes.size() - Sent,
                           MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

bool connection::isClosedByPeer() const {
  char Byte;
  ssize_t Got = ::recv(Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got == 0 || (Got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

read_end connection::fill(steady::time_point Until) {
  pollfd Poll{Fd, POLLIN, 0};
  if (::poll(&Poll, 1, millisUntil(Until)) <= 0)
    return read_end::timeout;
  char Bytes[16384];
  ssize_t Got = ::recv(Fd, Bytes, sizeof Bytes, 0);
  if (Got == 0)
    return read_end::closed;
  if (Got < 0)
    return read_end::reset;
  Unread.append(Bytes, static_cast<std::size_t>(Got));
  return read_end::complete;
}

read_end connection::read(message &Into, bool IsAnswer,
                          std::chrono::milliseconds Timeout) {
  steady::time_point Until = steady::now() + Timeout;
  std::size_t End;
  while ((End = Unread.find("\r\n\r\n")) == std::string::npos)
    if (read_end Got = fill(Until); Got != read_end::complete)
      return Got;
  std::string Head = Unread.substr(0, End + 2);
  Unread.erase(0, End + 4);
  Into = message();
  std::size_t Line = Head.find("\r\n");
  Into.Start = Head.substr(0, Line);
  if (IsAnswer && !Into.Start.starts_with("HTTP/1."))
    return read_end::malformed;
  for (std::size_t At = Line + 2; At < Head.size();) {
    std::size_t Next = Head.find("\r\n", At);
    std::string Field = Head.substr(At, Next - At);
    std::size_t Colon = Field.find(':');
    if (Colon == std::string::npos)
      return read_end::malformed;
    std::size_t Text = Field.find_first_not_of(' ', Colon + 1);
    Into.Fields[lower(Field.substr(0, Colon))] =
        Text == std::string::npos ? "" : Field.substr(Text);
    At = Next + 2;
  }
  auto Need = [&](std::size_t Bytes) {
    while (Unread.size() < Bytes)
      if (read_end Got = fill(Until); Got != read_end::complete)
        return Got;
    return read_end::complete;
  };
  if (lower(Into.field("transfer-encoding")) == "chunked") {
    for (;;) {
      std::size_t Eol;
      while ((Eol = Unread.find("\r\n")) == std::string::npos)
        if (read_end Got = fill(Until); Got != read_end::complete)
          return Got;
      std::size_t Size = std::stoul(Unread.substr(0, Eol), nullptr, 16);
      if (read_end Got = Need(Eol + 2 + Size + 2); Got != read_end::complete)
        return Got;
      Into.Body += Unread.substr(Eol + 2, Size);
      Unread.erase(0, Eol + 2 + Size + 2);
      if (Size == 0)
        return read_end::complete;
    }
  }
  if (Into.Fields.contains("content-length")) {
    std::size_t Size = std::stoul(Into.field("content-length"));
    read_end Got = Need(Size);
    std::size_t Taken = std::min(Size, Unread.size());
    Into.Body = Unread.substr(0, Taken);
    Unread.erase(0, Taken);
    return Got;
  }
  // Neither requests without a length nor these answers have a body.
  if (!IsAnswer || Into.status() == 204 || Into.status() == 304)
    return read_end::complete;
  read_end Got;
  while ((Got = fill(Until)) == read_end::complete)
    ;
  Into.Body = std::exchange(Unread, {});
  return Got == read_end::closed ? read_end::complete : Got;
}

int freePort(const std::string &Ip) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = toSockaddr({Ip, 0});
  ::bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address);
  socklen_t Size = sizeof Address;
  ::getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  ::close(Fd);
  return ntohs(Address.sin_port);
}

connection connectTo(const endpoint &To, std::chrono::milliseconds Timeout) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ::fcntl(Fd, F_SETFL, O_NONBLOCK);
  sockaddr_in Address = toSockaddr(To);
  ::connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address);
  pollfd Poll{Fd, POLLOUT, 0};
  int Error = ETIMEDOUT;
  socklen_t Size = sizeof Error;
  if (::poll(&Poll, 1, static_cast<int>(Timeout.count())) > 0)
    ::getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size);
  if (Error != 0) {
    ::close(Fd);
    return connection(-1);
  }
  ::fcntl(Fd, F_SETFL, 0);
  int On = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  return connection(Fd);
}

struct server::state {
  std::mutex Mutex;
  std::set<int> Open;
  int Listening = -1;
  bool Stopped = false;
  handler Handler;
};

server::server(endpoint At, handler Handler)
    : State(std::make_shared<state>()) {
  State->Handler = std::move(Handler);
  State->Listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  ::setsockopt(State->Listening, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  sockaddr_in Address = toSockaddr(At);
  if (::bind(State->Listening, reinterpret_cast<sockaddr *>(&Address),
             sizeof Address) != 0 ||
      ::listen(State->Listening, 256) != 0) {
    ::perror(("can't listen on " + At.text()).c_str());
    std::_Exit(2);
  }
  std::thread([State = State] {
    for (;;) {
      int Fd = ::accept4(State->Listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        return;
      int NoDelay = 1;
      ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &NoDelay, sizeof NoDelay);
      {
        std::lock_guard Lock(State->Mutex);
        if (State->Stopped) {
          ::close(Fd);
          return;
        }
        State->Open.insert(Fd);
      }
      std::thread([State, Fd] {
        connection Connection(Fd);
        State->Handler(Connection);
        std::lock_guard Lock(State->Mutex);
        State->Open.erase(Fd);
        Connection.close();
      }).detach();
    }
  }).detach();
}

server::~server() { stop(); }

void server::stop() {
  std::lock_guard Lock(State->Mutex);
  if (std::exchange(State->Stopped, true))
    return;
  ::shutdown(State->Listening, SHUT_RDWR);
  ::close(State->Listening);
  for (int Fd : State->Open)
    ::shutdown(Fd, SHUT_RDWR);
}

std::string answerText(int Status, const std::string &Body,
                       const std::string &MoreFields) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + MoreFields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::optional<message> call(const endpoint &To, const std::string &Method,
                            const std::string &Target, const std::string &Body,
                            const std::string &MoreFields,
                            std::chrono::milliseconds Timeout) {
  connection Connection = connectTo(To, Timeout);
  if (!Connection.isOpen())
    return std::nullopt;
  Connection.send(Method + " " + Target + " HTTP/1.1\r\n" + MoreFields +
                  "Content-Length: " + std::to_string(Body.size()) +
                  "\r\n\r\n" + Body);
  message Answer;
  if (Connection.read(Answer, true, Timeout) != read_end::complete)
    return std::nullopt;
  return Answer;
}

} // namespace review
