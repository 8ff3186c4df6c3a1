#include "toucanwharf/pipeline/error.h"

#include <string>

namespace toucanwharf::pipeline {
namespace {

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "pipeline"; }

  std::string message(int code) const override {
    switch (static_cast<Error>(code)) {
      case Error::kNoCover:
        return "the live endpoints do not cover all layers of the model "
               "version; load the missing layers or wait until they are loaded";
      case Error::kUnknownRequest:
        return "no answer is kept under this request id for this customer; "
               "check the id and key, or send the request again";
      case Error::kIndexNotReached:
        return "the answer has not reached the token asked for; resume from "
               "the first token that was not received";
      case Error::kDeadlinePassed:
        return "the answer was not finished before its deadline; allow more "
               "time or ask for fewer tokens";
      case Error::kOutOfAttempts:
        return "every allowed attempt at the answer failed; read the time line "
               "for the endpoints that failed, then send the request again";
      case Error::kCallerDisconnected:
        return "the caller closed its connection; resume the answer by its "
               "request id";
    }
    return "unknown pipeline error; report it with the request id";
  }
};

}  // namespace

const std::error_category& PipelineCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(Error error) {
  return {static_cast<int>(error), PipelineCategory()};
}

}  // namespace toucanwharf::pipeline
