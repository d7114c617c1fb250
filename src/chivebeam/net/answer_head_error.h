#pragma once

#include "limits/answer_head.h"
#include "net/asio_types.h"

namespace chivebeam {

/// Returns the category of errors that say why the head of an answer is
/// refused. Thread safe.
const boost::system::error_category &answerHeadCategory();

/// Returns an error of this category. Thread safe.
error_code makeErrorCode(answer_head_fault Fault);

} // namespace chivebeam
