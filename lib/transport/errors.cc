#include "toucanwharf/transport/errors.h"

#include <string>

namespace toucanwharf::transport {
namespace {

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "transport"; }

  std::string message(int code) const override {
    switch (static_cast<TransportError>(code)) {
      case TransportError::kBadAddress:
        return "the address is not of the form ip:port; write it with an IPv4 "
               "address, as in 127.0.0.1:8080";
      case TransportError::kCannotListen:
        return "cannot listen on the address; free the port or set "
               "another one in the settings";
    }
    return "unknown transport error";
  }
};

}  // namespace

const std::error_category& TransportCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(TransportError error) {
  return {static_cast<int>(error), TransportCategory()};
}

}  // namespace toucanwharf::transport
