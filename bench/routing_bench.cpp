// Makes routing decisions (match, split, pick) in a loop, to be run under
// callgrind.
// usage: routing_bench SERVICES WORKERS DECISIONS

#include <cstdio>
#include <cstdlib>

#include "config/compiler.h"
#include "routing/version_splitter.h"
#include "routing/worker_picker.h"

using namespace chivebeam;

namespace {

std::string makeRegister(unsigned Services) {
  std::string Text = R"({"failure_domains": [{"name": "a", "region": "r"},
    {"name": "b", "region": "r"}], "services": [)";
  for (unsigned Index = 0; Index < Services; ++Index)
    Text += (Index == 0 ? "" : ",") + std::string(R"({"name": "s)") +
            std::to_string(Index) +
            R"(", "class": "status", "workers": 9, "slots": 6,
               "version": "1", "versions": ["1"]})";
  return Text + "]}";
}

std::string makeRules(unsigned Services) {
  std::string Text = R"({"routes": [)";
  for (unsigned Index = 0; Index < Services; ++Index) {
    std::string Name = "s" + std::to_string(Index);
    Text.append(Index == 0 ? "" : ",").append(R"({"name": ")").append(Name);
    Text.append(R"(", "path_prefix": "/)").append(Name);
    Text.append(R"(/", "service": ")").append(Name);
    Text.append(R"(", "deadline_ms": 1000})");
  }
  return Text + "]}";
}

std::vector<member_record> makeMembers(unsigned Services, unsigned Workers) {
  std::vector<member_record> Members;
  for (unsigned Index = 0; Index < Workers; ++Index) {
    member_record Member;
    Member.Node = node_id("n" + std::to_string(Index));
    Member.Domain = failure_domain(Index % 3 == 0 ? "a" : "b");
    Member.Worker = {service_name("s" + std::to_string(Index % Services)),
                     version_name("1"), 6, worker_state::ready, instant()};
    Members.push_back(Member);
  }
  return Members;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 4) {
    std::printf("usage: routing_bench SERVICES WORKERS DECISIONS\n");
    return 2;
  }
  auto Services =
      static_cast<unsigned>(std::strtoul(Arguments[1], nullptr, 10));
  auto Workers = static_cast<unsigned>(std::strtoul(Arguments[2], nullptr, 10));
  auto Decisions = std::strtoul(Arguments[3], nullptr, 10);
  config_source Source{config_number(1), publish_id("p"), instant(),
                       makeRegister(Services), makeRules(Services)};
  failure_domain LocalDomain("a");
  fleet_view_ptr View =
      makeFleetView(compile(Source).value(), makeMembers(Services, Workers), {},
                    LocalDomain, false);
  worker_picker Picker(LocalDomain, 1);
  version_splitter Splitter;
  instant Now{std::chrono::hours(1'000)};
  std::set<node_id> Tried;
  call_observation Observation;
  Observation.Latency = milliseconds(5);
  std::size_t Chosen = 0;
  for (unsigned long Decision = 0; Decision < Decisions; ++Decision) {
    Now += microseconds(100);
    std::string Path = "/s" + std::to_string(Decision % Services) + "/x";
    const route_rule *Route = View->Config->match("h", Path, "GET");
    const version_name &Version =
        Splitter.choose(Route->Service, View->Splits.at(Route->Service), "");
    const endpoint_group &Group =
        View->Endpoints.at(Route->Service).at(Version);
    const endpoint *Endpoint = Picker.pick(Route->Service, Group, Tried, Now);
    Picker.callStarted(*Endpoint, Now);
    Picker.callEnded(Route->Service, *Endpoint, Observation, Now);
    Chosen += Endpoint->Slots;
  }
  std::printf("%zu\n", Chosen);
  return 0;
}
