#include "toucanwharf/instance/suspect_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "toucanwharf/support/json_text.h"

namespace toucanwharf::instance {
namespace {

using Json = nlohmann::json;
using quarantine::CrashReport;

std::int64_t ToMillis(Duration length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

Duration FromMillis(const Json& json) {
  // Another writer may state anything.
  constexpr std::int64_t kMaxMillis = 1'000'000'000'000;
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(json.get<std::int64_t>(), 0, kMaxMillis));
}

std::optional<bool> WaitingFromJson(const Json& json) {
  const auto found = json.find("waiting");
  if (found == json.end()) return std::nullopt;
  return found->get<bool>();
}

CrashReport CrashFromJson(const Json& json) {
  return {{json.at("endpoint").get<std::uint32_t>(),
           json.at("address").get<std::uint32_t>()},
          FromMillis(json.at("before_last_ms")),
          FromMillis(json.at("ran_ms")),
          std::chrono::milliseconds(json.value("begun_ms", 0)),
          json.at("refuted").get<bool>(),
          WaitingFromJson(json)};
}

}  // namespace

std::string SuspectRecordToText(const quarantine::SuspectReport& report,
                                const std::string& written_by) {
  Duration last = Duration::max();
  for (const CrashReport& crash : report.crashes) {
    last = std::min(last, crash.age);
  }
  Json crashes = Json::array();
  for (const CrashReport& crash : report.crashes) {
    crashes.push_back({{"endpoint", crash.endpoint.key},
                       {"address", crash.endpoint.address},
                       {"before_last_ms", ToMillis(crash.age - last)},
                       {"ran_ms", ToMillis(crash.since_sent)},
                       {"begun_ms", ToMillis(crash.ran)},
                       {"refuted", crash.refuted},
                       {"waiting", crash.waiting.value_or(false)}});
  }
  return Json{{"crashes", crashes},
              {"written_by", written_by},
              {"written_at_ms", WallMillis()}}
      .dump();
}

std::optional<quarantine::SuspectReport> SuspectRecordFromText(
    const std::string& name, const std::string& text) {
  const auto suspect = quarantine::FingerprintFromText(name);
  const Json json = ParseJson(text);
  if (!suspect || !json.is_object()) return std::nullopt;
  // An instance of another build, or another writer, may omit members.
  try {
    quarantine::SuspectReport report;
    report.suspect = *suspect;
    for (const Json& crash : json.at("crashes")) {
      report.crashes.push_back(CrashFromJson(crash));
    }
    return report;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace toucanwharf::instance
