#include "telemetry/log_event.h"

#include "telemetry/log_writer.h"

namespace chivebeam {

namespace {

bool needsQuotes(std::string_view Value) {
  return Value.empty() ||
         Value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

void appendQuoted(std::string &Line, std::string_view Value) {
  Line += '"';
  for (char Char : Value) {
    if (Char == '"' || Char == '\\')
      Line += '\\';
    Line += Char == '\n' || Char == '\r' ? ' ' : Char;
  }
  Line += '"';
}

} // namespace

log_event::log_event(std::string_view Name) { append("event", Name); }

log_event::~log_event() { log_writer::instance().submit(Line); }

void log_event::append(std::string_view Key, std::string_view Value) {
  if (!Line.empty())
    Line += ' ';
  Line += Key;
  Line += '=';
  if (needsQuotes(Value))
    appendQuoted(Line, Value);
  else
    Line += Value;
}

} // namespace chivebeam
