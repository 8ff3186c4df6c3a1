#include "toucanwharf/instance/registration.h"

#include <nlohmann/json.hpp>

#include "toucanwharf/support/json_text.h"

namespace toucanwharf::instance {
namespace {

using Json = nlohmann::json;

}  // namespace

std::string ToText(const Registration& registration) {
  return Json{{"address", registration.address},
              {"domain", registration.failure_domain},
              {"share", registration.processor_share}}
      .dump();
}

std::optional<Registration> RegistrationFromText(const std::string& text) {
  const Json json = ParseJson(text);
  // An instance of an older build writes only its address.
  if (json.is_string()) return Registration{json.get<std::string>(), "", 0};
  if (!json.is_object()) return std::nullopt;
  // An instance of another build may omit members; such a text is rejected.
  try {
    return Registration{json.at("address").get<std::string>(),
                        json.at("domain").get<std::string>(),
                        json.at("share").get<double>()};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace toucanwharf::instance
