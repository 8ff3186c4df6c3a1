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
        return "refused without effect; do what the refusal says, or come back "
               "later";
      case CommandError::kBadUsage:
        return "the arguments are wrong; see --help";
      case CommandError::kBadDocument:
        return "a document has problems; correct them and try again";
      case CommandError::kConflict:
        return "somebody else changed it meanwhile; get it, compare, and try "
               "again";
      case CommandError::kOutcomeUnknown:
        return "it may have taken effect or not; look before you repeat it";
      case CommandError::kUnreachable:
        return "no answer; check the address and that the process runs";
      case CommandError::kNotFound:
        return "there is no such thing; check the name";
      case CommandError::kWrongAnswer:
        return "the answer is incomplete or wrong; keep the request id and "
               "look at the time line";
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
