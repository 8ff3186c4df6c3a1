#ifndef TOUCANWHARF_HTTP_BODY_H_
#define TOUCANWHARF_HTTP_BODY_H_

#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

#include "toucanwharf/resources/account.h"

namespace toucanwharf::http {

/// The body of a request. Copies share its bytes, so that a request that waits,
/// is sent and perhaps sent again holds them once; and they share the lease of
/// these bytes, which ends with the last copy.
/// Thread safety: one thread at a time for all copies.
class Body {
 public:
  Body() = default;
  // NOLINTBEGIN(google-explicit-constructor): a body is its text
  Body(std::string text) : Body(std::move(text), resources::Lease()) {}
  Body(const char* text) : Body(std::string(text)) {}
  // NOLINTEND(google-explicit-constructor)
  /// \p counted is the lease of the memory of \p text.
  Body(std::string text, resources::Lease counted)
      : held(std::make_shared<const Held>(std::move(text),
                                          std::move(counted))) {}

  const std::string& Text() const {
    static const std::string kNoText;
    return this->held ? this->held->text : kNoText;
  }
  std::size_t size() const { return this->Text().size(); }
  bool empty() const { return this->Text().empty(); }

  friend bool operator==(const Body& left, const Body& right) {
    return left.Text() == right.Text();
  }
  friend std::ostream& operator<<(std::ostream& out, const Body& body) {
    return out << body.Text();
  }

 private:
  struct Held {
    Held(std::string bytes, resources::Lease counted)
        : text(std::move(bytes)), lease(std::move(counted)) {}

    std::string text;
    resources::Lease lease;
  };

  std::shared_ptr<const Held> held;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_HTTP_BODY_H_
