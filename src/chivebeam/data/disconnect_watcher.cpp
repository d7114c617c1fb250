#include "data/disconnect_watcher.h"

#include <sys/socket.h>

namespace chivebeam {

namespace {

enum class socket_state { idle, readable, closed };

socket_state peekSocket(tcp::socket &Socket) {
  char Byte = 0;
  ssize_t Received =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Received > 0)
    return socket_state::readable;
  if (Received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return socket_state::idle;
  return socket_state::closed;
}

} // namespace

/// Shared with pending waits, which may outlive the watcher. So a wait need not
/// be cancelled between two calls.
struct disconnect_watcher::state {
  tcp::socket *Socket = nullptr;
  handler OnDisconnect;
  bool Active = false;
  bool ReadPending = false;
  bool ErrorPending = false;
};

disconnect_watcher::disconnect_watcher(tcp::socket &Socket)
    : State(std::make_shared<state>()) {
  State->Socket = &Socket;
}

disconnect_watcher::~disconnect_watcher() { stop(); }

void disconnect_watcher::start(handler OnDisconnect) {
  State->OnDisconnect = std::move(OnDisconnect);
  State->Active = true;
  waitFor(State, tcp::socket::wait_read);
}

void disconnect_watcher::stop() {
  State->Active = false;
  State->OnDisconnect = nullptr;
}

void disconnect_watcher::waitFor(const std::shared_ptr<state> &State,
                                 tcp::socket::wait_type Type) {
  bool state::*Pending = Type == tcp::socket::wait_read ? &state::ReadPending
                                                        : &state::ErrorPending;
  if ((*State).*Pending)
    return;
  (*State).*Pending = true;
  State->Socket->async_wait(Type, [State, Pending](error_code) {
    (*State).*Pending = false;
    if (State->Active)
      check(State);
  });
}

void disconnect_watcher::check(const std::shared_ptr<state> &State) {
  socket_state SocketState = State->Socket->is_open()
                                 ? peekSocket(*State->Socket)
                                 : socket_state::closed;
  // With unread bytes a read wait would complete at once without detecting a
  // disconnect; an error wait still detects a reset.
  if (SocketState == socket_state::readable)
    return waitFor(State, tcp::socket::wait_error);
  if (SocketState == socket_state::idle)
    return waitFor(State, tcp::socket::wait_read);
  State->Active = false;
  handler OnDisconnect = std::move(State->OnDisconnect);
  OnDisconnect();
}

} // namespace chivebeam
