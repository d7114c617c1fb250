#pragma once

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <regex>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/address.h"

namespace chivebeam::bench {

/// Node processes on loopback with a store stand-in and one published
/// configuration. The destructor stops the processes by their ids.
class bench_fleet {
public:
  struct node {
    pid_t Pid = 0;
    address Control;
    address Traffic;
  };

  /// \pre Binaries is the folder with chivebeam and chivebeam-standin.
  bench_fleet(std::string Binaries, std::string Routing)
      : Bin(std::move(Binaries)), Policy(std::move(Routing)) {
    Folder = std::filesystem::temp_directory_path() /
             ("calls_bench." + std::to_string(::getpid()) + "." + Policy);
    std::filesystem::create_directories(Folder);
    spawn("store", {Bin + "/chivebeam-standin", "store"});
    Store = awaitValue("store", "listening=([^ \\n]+)");
    publish();
  }
  ~bench_fleet() {
    for (pid_t Pid : Pids)
      ::kill(Pid, SIGTERM);
    for (pid_t Pid : Pids)
      ::waitpid(Pid, nullptr, 0);
    std::filesystem::remove_all(Folder);
  }
  bench_fleet(const bench_fleet &) = delete;
  bench_fleet &operator=(const bench_fleet &) = delete;

  node addNode(const std::string &Name) {
    std::string File = path(Name + ".jsonc");
    std::ofstream(File)
        << R"({"fleet": "bench", "node": ")" << Name
        << R"(", "region": "r", "failure_domain": "a", "routing": ")" << Policy
        << R"(", "traffic_address": "127.0.0.1:0",
              "peer_address": "127.0.0.1:0", "relay_address": "127.0.0.1:0",
              "control_address": "127.0.0.1:0", "store": [")"
        << Store << R"("], "limits": {"drain_notice_ms": 0}})";
    node Node;
    Node.Pid = spawn(Name, {Bin + "/chivebeam", "node", "--settings", File});
    Node.Control = parse(awaitValue(Name, "node_started.* control=([^ \\n]+)"));
    Node.Traffic = parse(awaitValue(Name, "listening.* traffic=([^ \\n]+)"));
    return Node;
  }

private:
  static constexpr int StartupMillis = 10'000;
  static constexpr int PollMillis = 20;

  static address parse(const std::string &Text) {
    return parseAddress(Text).value_or(address());
  }
  std::string path(const std::string &Name) const { return Folder / Name; }

  void publish() {
    std::ofstream(path("register.jsonc"))
        << R"({"failure_domains": [{"name": "a", "region": "r"}],
               "services": [{"name": "desk", "class": "status", "workers": 5,
                 "slots": 6, "version": "1.0", "versions": ["1.0"]}]})";
    std::ofstream(path("rules.jsonc"))
        << R"({"routes": [{"name": "read", "path_prefix": "/desk/",
               "service": "desk", "idempotent": true, "deadline_ms": 1000}]})";
    pid_t Pid = spawn("publish", {Bin + "/chivebeam", "publish",
                                  path("register.jsonc"), path("rules.jsonc"),
                                  "--store", Store, "--fleet", "bench"});
    int Status = 0;
    ::waitpid(Pid, &Status, 0);
    Pids.pop_back();
    if (Status != 0)
      fail("publishing the configuration failed; see publish.log");
  }

  pid_t spawn(const std::string &Name, std::vector<std::string> Arguments) {
    std::vector<char *> Argv;
    Argv.reserve(Arguments.size() + 1);
    for (std::string &Argument : Arguments)
      Argv.push_back(Argument.data());
    Argv.push_back(nullptr);
    posix_spawn_file_actions_t Files;
    ::posix_spawn_file_actions_init(&Files);
    ::posix_spawn_file_actions_addopen(&Files, 1, path(Name + ".log").c_str(),
                                       O_WRONLY | O_CREAT | O_TRUNC, 0600);
    ::posix_spawn_file_actions_adddup2(&Files, 1, 2);
    pid_t Pid = 0;
    if (::posix_spawn(&Pid, Argv[0], &Files, nullptr, Argv.data(), environ) !=
        0)
      fail("build the project first; can't start " + Arguments[0]);
    ::posix_spawn_file_actions_destroy(&Files);
    Pids.push_back(Pid);
    return Pid;
  }

  std::string awaitValue(const std::string &Name, const std::string &Pattern) {
    std::regex Expression(Pattern);
    for (int Waited = 0; Waited < StartupMillis; Waited += PollMillis) {
      std::ifstream Log(path(Name + ".log"));
      std::stringstream Text;
      Text << Log.rdbuf();
      std::string All = Text.str();
      std::smatch Found;
      if (std::regex_search(All, Found, Expression))
        return Found[1];
      std::this_thread::sleep_for(std::chrono::milliseconds(PollMillis));
    }
    fail(Name + " did not start in time");
  }

  [[noreturn]] static void fail(const std::string &Message) {
    std::cerr << Message << '\n';
    std::exit(1);
  }

  std::string Bin;
  std::string Policy;
  std::filesystem::path Folder;
  std::string Store;
  std::vector<pid_t> Pids;
};

/// Returns the processor time that a process has used, in seconds.
inline double processorSeconds(pid_t Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/stat");
  std::string Text((std::istreambuf_iterator<char>(File)), {});
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  std::string Skipped;
  for (int Field = 3; Field < 14; ++Field)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

} // namespace chivebeam::bench
