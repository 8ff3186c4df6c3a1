#include "toucanwharf/command/errors.h"

#include <string>

namespace toucanwharf::command {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "command"; }

  std::string message(int code) const override {
    switch (static_cast<CommandError>(code)) {
      case CommandError::kRefused:
        return "refused without effect; follow the refusal's advice or retry "
               "later";
      case CommandError::kBadUsage:
        return "invalid arguments; see --help";
      case CommandError::kBadDocument:
        return "a document has problems; correct them and retry";
      case CommandError::kConflict:
        return "changed concurrently by another writer; get it, compare, and "
               "retry";
      case CommandError::kOutcomeUnknown:
        return "it may or may not have taken effect; check before you repeat "
               "it";
      case CommandError::kUnreachable:
        return "no answer; check the address and that the process runs";
      case CommandError::kNotFound:
        return "not found; check the name";
      case CommandError::kWrongAnswer:
        return "the answer is incomplete or wrong; keep the request id and "
               "check the timeline";
    }
    return "unknown error; see docs/OPERATING.md";
  }
};

}  // namespace

const std::error_category& CommandCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(CommandError error) {
  return {static_cast<int>(error), CommandCategory()};
}

}  // namespace toucanwharf::command
