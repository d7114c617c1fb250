#include "config/work_class.h"

namespace chivebeam {

std::string_view toString(work_class Class) {
  switch (Class) {
  case work_class::status:
    return "status";
  case work_class::upload:
    return "upload";
  case work_class::payment:
    return "payment";
  }
  return "status";
}

std::optional<work_class> parseWorkClass(std::string_view Text) {
  for (work_class Class :
       {work_class::status, work_class::upload, work_class::payment})
    if (Text == toString(Class))
      return Class;
  return std::nullopt;
}

} // namespace chivebeam
