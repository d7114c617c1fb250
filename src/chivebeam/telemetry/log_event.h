#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace chivebeam {

/// Builds one log line of key=value pairs. The destructor submits the line to
/// the telemetry thread. Values with spaces, quotes or equals signs are quoted.
/// Never blocks: if the ring buffer is full, the line is dropped and counted.
/// Different objects may be used from different threads.
class log_event {
public:
  explicit log_event(std::string_view Name);
  ~log_event();
  log_event(const log_event &) = delete;
  log_event &operator=(const log_event &) = delete;

  template <typename Value>
  log_event &add(std::string_view Key, const Value &Field) {
    std::ostringstream Text;
    Text << Field;
    append(Key, Text.str());
    return *this;
  }

private:
  void append(std::string_view Key, std::string_view Value);

  std::string Line;
};

} // namespace chivebeam
