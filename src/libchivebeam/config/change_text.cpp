#include "config/change_text.h"

#include <sstream>

namespace chivebeam {

std::string quoted(const std::string &Text) { return "\"" + Text + "\""; }

std::string numberText(double Number) {
  std::ostringstream Out;
  Out << Number;
  return Out.str();
}

std::string secondsText(microseconds Time) {
  return numberText(std::chrono::duration<double>(Time).count()) + " s";
}

std::string changeText(const std::string &What, const std::string &Before,
                       const std::string &After) {
  return What + " " + Before + " -> " + After;
}

} // namespace chivebeam
