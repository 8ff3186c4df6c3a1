#include "toucanwharf/peers/error.h"

#include <string>

namespace toucanwharf::peers {
namespace {

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "peers"; }
  std::string message(int code) const override {
    switch (static_cast<Errc>(code)) {
      case Errc::kUnreachable:
        return "the router can't be reached: ask another one";
      case Errc::kTimeout:
        return "the router didn't answer in time: ask another one";
      case Errc::kWrongKey:
        return "the seal is wrong: give all routers the same keys.peer in "
               "their settings";
      case Errc::kNotFound:
        return "the router doesn't have it: ask another one";
      case Errc::kMalformed:
        return "the router's answer can't be read: run the same release "
               "everywhere";
      case Errc::kCannotListen:
        return "the address for peers is taken: choose another listen.peers";
    }
    return "unknown error";
  }
};

}  // namespace

const std::error_category& PeersCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(Errc code) {
  return {static_cast<int>(code), PeersCategory()};
}

}  // namespace toucanwharf::peers
