#pragma once

#include <deque>

#include "base/random.h"
#include "soak_record.h"
#include "stand_ins/scripted_http.h"

namespace chivebeam::tests {

/// What a faulty server sends in place of an answer.
enum class server_fault {
  none,
  endless_fields,
  endless_body,
  long_trailer,
  cut,
  reset_unframed, ///< part of an answer without a length, then a reset
  no_status,      ///< the status 000
  odd_field,      ///< a blank and a control byte in a field's name
  second_answer,
  early_reset ///< the same as reset_unframed, before an upload is read
};

inline constexpr int ServerFaults = 10;

/// A backend server of the platform beside one node of a soak. It reports, may
/// crash, leave, or be faulty for a time. Runs on one io_context.
class soak_server {
public:
  soak_server(asio::io_context &Context, soak_record &Record, address ReportsTo,
              std::string Name, std::uint64_t Seed);

  const address &bound() const { return Server.bound(); }
  /// Sends reports until the context ends.
  awaitable<void> report();
  /// Ends the process and starts another one after a while.
  awaitable<void> crash();
  /// Leaves as planned, and is replaced by another start.
  awaitable<void> replace();
  /// Spoils some answers for this time.
  awaitable<void> spoil(server_fault Kind, milliseconds For);

private:
  std::string id() const { return Name + "-" + std::to_string(Born); }
  void start();
  awaitable<void> serve(tcp::socket &Socket);
  /// Notes that a request has reached the server; returns whether its answer is
  /// to be spoiled.
  bool noteRun(const std::string &Id);
  std::string faultyAnswer(const std::string &Head,
                           const std::string &Body) const;
  awaitable<void> sendFaulty(tcp::socket &Socket, std::string Head,
                             std::string Body);
  awaitable<unsigned> sendReport(std::string State);

  asio::io_context &Context;
  soak_record &Record;
  address ReportsTo;
  std::string Name;
  random_source Random;
  scripted_worker Server;
  std::int64_t Born = 0;
  std::uint64_t Sequence = 0;
  bool Runs = true;              ///< and reports
  bool IsLeaving = false;        ///< and says so
  std::optional<instant> LeftAt; ///< when its leave was acknowledged
  server_fault Fault = server_fault::none;
};

} // namespace chivebeam::tests
