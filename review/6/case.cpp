// Two of four backend servers spoil one in fifty of their answers: behind the
// last chunk of the body come bytes without end, which begin like a trailer
// field of 70,000 bytes. The other answers are sound.
#include "../stand_ins_2/fleet.h"

#include <csignal>

using namespace review;

namespace {

constexpr int SpoiledOneIn = 50;             // garble: x = 0.02
constexpr std::size_t FieldBytes = 70'000;
constexpr std::size_t MaxBytes = 2'000'000;  // "without end", for this test
constexpr int EndsOnOneMachine = 3;          // rule Fault
constexpr int MachinesWithEnds = 2;          // rule Fault
constexpr double RunForS = 6;               // longest garble of the site
constexpr double RestartAfterS = 0.5;

void answerSpoiled(connection &Connection, const message &Request) {
  Connection.send("HTTP/1.1 200 OK\r\nRequest-Id: " +
                  Request.field("request-id") + "\r\nResponse-Signature: s." +
                  Request.field("request-id") +
                  "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: " +
                  std::string(FieldBytes, 'a') + "\r\n\r\n");
  const std::string Rest(10'000, 'a');
  for (std::size_t Sent = 0; Sent < MaxBytes && Connection.send(Rest);)
    Sent += Rest.size();
  Connection.close();
}

} // namespace

int main(int, char **Arguments) {
  recorder Record(Arguments[1]);
  fleet Fleet(Record, Arguments[2], Arguments[3]);
  store Store(Fleet.storeAddress());
  const std::vector<std::string> Names{"sidecar-a-1", "sidecar-b-1",
                                       "sidecar-c-1", "sidecar-c-2"};
  const std::vector<std::string> Zones{"zone-a", "zone-b", "zone-c", "zone-c"};
  std::vector<std::unique_ptr<worker>> Workers;
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    Workers.push_back(std::make_unique<worker>(
        Record, Fleet.add(Names[Index], Zones[Index], "desk"),
        "i-" + Names[Index], "desk"));
  Store.put("op/config", configText(7, {"desk"},
                                    {{"r-read", "desk.example", "/read/",
                                      "safe", "desk"}}));
  for (const std::string &Name : Names)
    Fleet.start(Name, true);
  if (!Fleet.waitReady(milliseconds(15'000)))
    return Fleet.finish("the nodes are not ready", 2);
  for (auto &Worker : Workers)
    Worker->startReports();
  sleepMs(5'000);

  std::atomic<bool> Stop{false};
  std::atomic<int> Sent{0}, Served{0}, Unanswered{0};
  std::vector<std::thread> Consumers;
  for (int Consumer = 0; Consumer < 16; ++Consumer)
    Consumers.emplace_back([&, Consumer] {
      const machine &At = Fleet.of(Names[Consumer % 4]);
      connection Connection(-1);
      while (!Stop) {
        if (!Connection.isOpen())
          Connection = connectTo(At.Outbound, milliseconds(1'000));
        outcome Outcome =
            requestOn(Connection, Record, "GET", "desk.example",
                      "/read/" + std::to_string(++Sent), newId(), "", 2'000);
        Served += Outcome.Status == 200 ? 1 : 0;
        Unanswered += Outcome.End != read_end::complete ? 1 : 0;
        if (Outcome.End != read_end::complete)
          Connection.close();
        sleepMs(20);
      }
    });
  sleepMs(3'000);
  int ServedBefore = Served;
  if (ServedBefore < 50)
    return Fleet.finish("requests before the trouble were not served", 2);

  std::atomic<int> Spoiled{0};
  if (withTrouble()) {
    Record.line("the servers beside sidecar-a-1 and sidecar-b-1 spoil one "
                "answer in fifty");
    for (std::size_t Index : {0U, 1U})
      Workers[Index]->setBehaviour(
          [&, Count = std::make_shared<std::atomic<int>>(0)](
              connection &Connection, const message &Request) {
            sleepMs(20);
            if (++*Count % SpoiledOneIn != 0) {
              Connection.send(signedAnswer(Request, 200, "body"));
              return;
            }
            ++Spoiled;
            Record.line("answer to " + Request.field("request-id") +
                        " is spoiled");
            answerSpoiled(Connection, Request);
          });
  }
  std::map<std::string, int> Ends;
  std::map<std::string, double> RestartAt;
  double Until = Record.seconds() + (withTrouble() ? RunForS : 20);
  auto MachinesOver = [&] {
    int Count = 0;
    for (auto &[Name, Times] : Ends)
      Count += Times >= EndsOnOneMachine ? 1 : 0;
    return Count;
  };
  while (Record.seconds() < Until && MachinesOver() < MachinesWithEnds) {
    for (const std::string &Name : Names) {
      if (!Fleet.endOf(Name).empty()) {
        ++Ends[Name];
        RestartAt[Name] = Record.seconds() + RestartAfterS;
      }
      if (auto Found = RestartAt.find(Name);
          Found != RestartAt.end() && Record.seconds() >= Found->second) {
        RestartAt.erase(Found);
        Fleet.start(Name, false);
      }
    }
    sleepMs(20);
  }
  Stop = true;
  for (std::thread &Consumer : Consumers)
    Consumer.join();
  Record.line("sent " + std::to_string(Sent) + ", served " +
              std::to_string(Served) + ", without an answer " +
              std::to_string(Unanswered) + ", spoiled " +
              std::to_string(Spoiled));
  for (auto &[Name, Times] : Ends)
    Record.line("the process on " + Name + " ended by itself " +
                std::to_string(Times) + " times");
  return Fleet.finish(std::to_string(MachinesOver()) +
                          " machines with three ends or more",
                      MachinesOver() >= MachinesWithEnds ? 1 : 0);
}
