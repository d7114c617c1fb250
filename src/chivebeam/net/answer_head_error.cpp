#include "net/answer_head_error.h"

namespace chivebeam {

namespace {

class answer_head_category final : public boost::system::error_category {
public:
  const char *name() const noexcept override { return "answer_head"; }
  std::string message(int Value) const override {
    return "the head of the answer is refused: " +
           std::string(toString(static_cast<answer_head_fault>(Value)));
  }
};

} // namespace

const boost::system::error_category &answerHeadCategory() {
  static const answer_head_category Category;
  return Category;
}

error_code makeErrorCode(answer_head_fault Fault) {
  return {static_cast<int>(Fault), answerHeadCategory()};
}

} // namespace chivebeam
