#include "soak_record.h"

#include <algorithm>

namespace chivebeam::tests {

namespace {

/// Disturbances are felt for this time.
constexpr seconds CalmTime{3};

/// A status that promises that the request has not run and never will.
bool promisesNoRun(unsigned Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

} // namespace

bool soak_record::wasCalm(const request_record &Request) const {
  return std::none_of(Disturbances.begin(), Disturbances.end(),
                      [&](const span &Span) {
                        return Span.From < *Request.EndedAt &&
                               Request.SentAt < Span.Until + CalmTime;
                      });
}

std::string soak_record::problemOf(const request_record &Request) const {
  if (Request.IsPayment && Request.Runs > 1)
    return "ran " + std::to_string(Request.Runs) + " times";
  if (promisesNoRun(Request.Status) && Request.IsPayment && Request.Runs > 0)
    return "ran, and got " + std::to_string(Request.Status);
  if (Request.Status / 100 == 2 && !Request.IsBodyWhole)
    return "got a success with another body than the server's";
  if (Request.Status != 0 && (Request.Status < 200 || Request.Status > 599))
    return "got the status " + std::to_string(Request.Status);
  if (Request.TimedOut && wasCalm(Request))
    return "got no answer in calm";
  if (Request.EndedAt && Request.Runs > 0 && !Request.WasSpoiled &&
      (Request.Status == 0 || Request.Status == 502) && wasCalm(Request))
    return "ran in calm, and got " + std::to_string(Request.Status);
  return "";
}

std::vector<std::string> soak_record::judge() const {
  std::vector<std::string> Found = Violations;
  for (const auto &[Id, Request] : Requests) {
    std::string Problem = problemOf(Request);
    if (!Problem.empty())
      Found.push_back(std::string(Id)
                          .append(" at ")
                          .append(Request.Entry)
                          .append(" ")
                          .append(Problem));
  }
  return Found;
}

std::string soak_record::summary() const {
  std::map<unsigned, unsigned> Statuses;
  for (const auto &[Id, Request] : Requests)
    ++Statuses[Request.Status];
  std::string Text = std::to_string(Requests.size()) + " requests;";
  for (const auto &[Status, Count] : Statuses)
    Text += " " + std::to_string(Status) + ": " + std::to_string(Count);
  return Text;
}

} // namespace chivebeam::tests
