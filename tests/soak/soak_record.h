#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/units.h"

namespace chivebeam::tests {

/// What callers and backend servers saw of one request.
struct request_record {
  bool IsPayment = false; ///< may run at most once
  instant SentAt;
  std::optional<instant> EndedAt;
  unsigned Status = 0;      ///< zero if its connection ended without an answer
  bool TimedOut = false;    ///< its connection stayed open without an answer
  bool IsBodyWhole = false; ///< the answer's body is what the server sent
  std::string Entry;        ///< the node that it was sent to
  unsigned Runs = 0;
  bool WasSpoiled = false; ///< a server sent something else than its answer
};

/// Collects what a soak saw, and judges it at its end. Not thread safe.
class soak_record {
public:
  request_record &of(const std::string &Id) { return Requests[Id]; }
  /// Notes a disturbance that no planned work explains.
  void disturbed(instant From, instant Until) {
    Disturbances.push_back({From, Until});
  }
  /// Notes a process that ended by itself.
  void processEnded(const std::string &Node, const std::string &How) {
    Violations.push_back("process of " + Node + " ended by itself: " + How);
  }
  /// Notes that clients or events did not end.
  void hung() { Violations.push_back("clients or events did not end"); }
  /// Notes that a request reached a server too long after its acknowledged
  /// leave.
  void lateRun(const std::string &Id, const std::string &Server) {
    Violations.push_back(Id + " reached " + Server + " after it left");
  }

  /// Returns what broke a promise to callers.
  std::vector<std::string> judge() const;
  /// Returns the numbers of requests, by status.
  std::string summary() const;

private:
  struct span {
    instant From;
    instant Until;
  };

  std::string problemOf(const request_record &Request) const;
  /// True if nothing but planned work happened shortly before the request and
  /// until its end.
  bool wasCalm(const request_record &Request) const;

  std::map<std::string, request_record> Requests;
  std::vector<span> Disturbances;
  std::vector<std::string> Violations;
};

} // namespace chivebeam::tests
