#include "telemetry/log_writer.h"

#include <chrono>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace chivebeam {

namespace {

constexpr std::chrono::milliseconds IdleWait{20};

void configureLogger() {
  el::Configurations Settings;
  Settings.setToDefault();
  Settings.setGlobally(el::ConfigurationType::Format,
                       "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  Settings.setGlobally(el::ConfigurationType::ToFile, "false");
  Settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureLogger("default", Settings);
}

} // namespace

log_writer &log_writer::instance() {
  static log_writer Writer;
  return Writer;
}

log_writer::ring &log_writer::ringOfCurrentThread() {
  thread_local std::shared_ptr<ring> ThreadRing;
  if (!ThreadRing) {
    ThreadRing = std::make_shared<ring>(RingCapacity);
    std::lock_guard Lock(RingsMutex);
    Rings.push_back(ThreadRing);
  }
  return *ThreadRing;
}

void log_writer::submit(const std::string &Line) {
  if (!ringOfCurrentThread().push(Line))
    ++Dropped;
}

void log_writer::start() {
  configureLogger();
  Stopping = false;
  Thread = std::thread([this] { run(); });
}

void log_writer::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

bool log_writer::drain() {
  std::vector<std::shared_ptr<ring>> Current;
  {
    std::lock_guard Lock(RingsMutex);
    Current = Rings;
  }
  std::size_t Written = 0;
  for (const std::shared_ptr<ring> &Ring : Current)
    Written +=
        Ring->consume_all([](const std::string &Line) { LOG(INFO) << Line; });
  return Written > 0;
}

void log_writer::run() {
  while (!Stopping)
    if (!drain())
      std::this_thread::sleep_for(IdleWait);
  drain();
}

} // namespace chivebeam
