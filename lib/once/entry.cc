#include "toucanwharf/once/entry.h"

namespace toucanwharf::once {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "once"; }
  std::string message(int code) const override {
    switch (static_cast<IdempotencyError>(code)) {
      case IdempotencyError::kKeyMalformed:
        return "Idempotency-Key is not a UUID version 7 of the present: make "
               "a new one for each new request and keep it for its repeats";
      case IdempotencyError::kKeyTooOld:
        return "the key is older than what is kept: look up in the service "
               "whether the request ran before sending it with a new key";
      case IdempotencyError::kKeyReused:
        return "the key came before with another request: use a new key for "
               "each new request";
      case IdempotencyError::kInProgress:
        return "an attempt with this key has no outcome yet: repeat the "
               "request with the same key later";
      case IdempotencyError::kOutcomeLost:
        return "an attempt with this key was sent and its answer was lost: "
               "look up in the service whether it ran";
      case IdempotencyError::kJournalFull:
        return "the journal of keys is full of recent ones: repeat the request "
               "with the same key later";
      case IdempotencyError::kJournalUnreachable:
        return "the journal of keys can't be written in time: repeat the "
               "request with the same key later";
    }
    return "unknown error of the journal of keys: report it";
  }
};

}  // namespace

const std::error_category& IdempotencyCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(IdempotencyError error) {
  return {static_cast<int>(error), IdempotencyCategory()};
}

}  // namespace toucanwharf::once
