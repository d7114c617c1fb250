#pragma once

namespace chivebeam {

/// How the bytes of an answer ended on the connection to a backend server.
enum class answer_end {
  complete,    ///< the answer's own framing shows its end
  until_close, ///< an answer without a length; its connection was closed
  closed,      ///< the server closed or reset the connection before the end
  invalid,     ///< the bytes are no answer, or exceed a limit
};

/// How an exchange with a backend server ended, as far as the connection tells.
enum class exchange_outcome {
  answered,       ///< a whole answer arrived
  answered_close, ///< the same, unless the server ended while it answered
  server_closed,  ///< the server ended the exchange; the server may be gone
  given_up,       ///< this node closed the connection; the call may still run
  rejected,       ///< this node closed it because of what the server sent
};

/// What was seen of an exchange. A plain value.
struct exchange_observation {
  answer_end Answer = answer_end::complete;
  /// The deadline passed, or the caller left, before the answer ended.
  bool GivenUp = false;
};

/// Decides how an exchange ended. It doesn't matter at which byte of the answer
/// the server closed the connection. Thread safe.
exchange_outcome classifyExchange(const exchange_observation &Observed);

} // namespace chivebeam
