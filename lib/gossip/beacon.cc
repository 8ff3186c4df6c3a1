#include "toucanwharf/gossip/beacon.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "toucanwharf/support/json.h"

namespace toucanwharf::gossip {
namespace {

using Json = nlohmann::json;

/// Version of the message layout. Instances ignore messages of another version.
constexpr std::uint64_t kFormat = 8;

/// Reads CBOR into a value, up to a depth that a beacon doesn't reach: the
/// library reads each level by a call of its own, and would overflow the stack.
class BoundedReader : public nlohmann::detail::json_sax_dom_parser<Json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;

  explicit BoundedReader(Json& result) : Base(result, false) {}

  bool start_object(std::size_t size) {
    return ++this->level <= kMaxLevels && Base::start_object(size);
  }
  bool end_object() {
    --this->level;
    return Base::end_object();
  }
  bool start_array(std::size_t size) {
    return ++this->level <= kMaxLevels && Base::start_array(size);
  }
  bool end_array() {
    --this->level;
    return Base::end_array();
  }

 private:
  static constexpr int kMaxLevels = 16;
  int level = 0;
};

/// Returns the value in \p bytes, discarded if there is none.
Json ReadCbor(std::string_view bytes) {
  Json value;
  BoundedReader reader(value);
  const bool read = Json::sax_parse(bytes, &reader, Json::input_format_t::cbor);
  return read ? value : Json(Json::value_t::discarded);
}

Json AgeOrNull(const std::optional<Duration>& age) {
  return age ? Json(age->count()) : Json();
}

std::optional<Duration> AgeFromJson(const Json& json) {
  if (!json.is_number_integer()) return std::nullopt;
  return Duration(json.get<std::int64_t>());
}

Json RevisionToJson(const store::Revision& revision) {
  return {revision.epoch, revision.number};
}

store::Revision RevisionFromJson(const Json& json) {
  return {json.at(0).get<std::uint64_t>(), json.at(1).get<std::uint64_t>()};
}

constexpr double kHundredths = 100;
constexpr double kThousand = 1000;

/// Whole numbers take one to five bytes, others nine.
std::int64_t Rounded(double value) { return std::llround(value); }

Json LoadsToJson(const std::vector<EndpointLoad>& loads) {
  Json list = Json::array();
  for (const EndpointLoad& load : loads) {
    list.push_back({load.endpoint, Rounded(load.answers),
                    Rounded(load.token_layers),
                    Rounded(load.first_stage_answers)});
  }
  return list;
}

/// Encodes as one flat array: nested arrays would cost a byte for each entry.
Json KeyedLoadsToJson(const std::vector<KeyedLoad>& loads) {
  Json list = Json::array();
  for (const KeyedLoad& load : loads) {
    list.push_back(load.key);
    list.push_back(Rounded(load.answers));
    list.push_back(Rounded(load.token_layers / kThousand));
    list.push_back(Rounded(load.first_stage_answers));
  }
  return list;
}

std::vector<KeyedLoad> KeyedLoadsFromJson(const Json& list) {
  constexpr std::size_t kMembers = 4;
  std::vector<KeyedLoad> loads;
  for (std::size_t i = 0; i < list.size(); i += kMembers) {
    loads.push_back({list.at(i).get<std::uint32_t>(),
                     list.at(i + 1).get<double>(),
                     list.at(i + 2).get<double>() * kThousand,
                     list.at(i + 3).get<double>()});
  }
  return loads;
}

Json SuspicionsToJson(const std::vector<Suspicion>& suspicions) {
  Json list = Json::array();
  for (const Suspicion& suspicion : suspicions) {
    list.push_back({suspicion.endpoint, suspicion.remaining.count(),
                    suspicion.unresponsive});
  }
  return list;
}

/// Encodes the suspects as flat arrays: the kind, the customer, the content,
/// and six members for each crash.
Json SuspectsToJson(const std::vector<quarantine::SuspectReport>& suspects) {
  Json list = Json::array();
  for (const quarantine::SuspectReport& suspect : suspects) {
    Json entry = {suspect.suspect.kind, suspect.suspect.customer,
                  suspect.suspect.content};
    for (const quarantine::CrashReport& crash : suspect.crashes) {
      entry.push_back(crash.endpoint.key);
      entry.push_back(crash.endpoint.address);
      entry.push_back(crash.age.count());
      entry.push_back(crash.since_sent.count());
      entry.push_back(crash.ran.count());
      entry.push_back(crash.refuted);
    }
    list.push_back(std::move(entry));
  }
  return list;
}

std::vector<quarantine::SuspectReport> SuspectsFromJson(const Json& list) {
  constexpr std::size_t kSuspectMembers = 3;
  constexpr std::size_t kCrashMembers = 6;
  std::vector<quarantine::SuspectReport> suspects;
  for (const Json& entry : list) {
    quarantine::SuspectReport suspect;
    suspect.suspect = {entry.at(1).get<std::uint32_t>(),
                       entry.at(2).get<std::uint64_t>(),
                       entry.at(0).get<quarantine::FingerprintKind>()};
    for (std::size_t i = kSuspectMembers; i < entry.size();
         i += kCrashMembers) {
      suspect.crashes.push_back({{entry.at(i).get<std::uint32_t>(),
                                  entry.at(i + 1).get<std::uint32_t>()},
                                 Duration(entry.at(i + 2).get<std::int64_t>()),
                                 Duration(entry.at(i + 3).get<std::int64_t>()),
                                 Duration(entry.at(i + 4).get<std::int64_t>()),
                                 entry.at(i + 5).get<bool>()});
    }
    suspects.push_back(std::move(suspect));
  }
  return suspects;
}

/// Numbers the crashes of all \p suspects in order, and returns the numbers of
/// those before which nothing of the answer had come.
Json WaitingToJson(const std::vector<quarantine::SuspectReport>& suspects) {
  Json list = Json::array();
  std::size_t number = 0;
  for (const quarantine::SuspectReport& suspect : suspects) {
    for (const quarantine::CrashReport& crash : suspect.crashes) {
      if (crash.waiting.value_or(false)) list.push_back(number);
      ++number;
    }
  }
  return list;
}

/// Sets the crashes that \p list names as WaitingToJson does; others that it
/// may name are ignored.
void ApplyWaiting(const Json& list,
                  std::vector<quarantine::SuspectReport>& suspects) {
  const auto numbers = list.get<std::set<std::size_t>>();
  std::size_t number = 0;
  for (quarantine::SuspectReport& suspect : suspects) {
    for (quarantine::CrashReport& crash : suspect.crashes) {
      crash.waiting = numbers.contains(number++);
    }
  }
}

/// Returns the places of the \p suspects of which a request was on trial, each
/// with the time since.
Json TrialsToJson(const std::vector<quarantine::SuspectReport>& suspects) {
  Json list = Json::array();
  for (std::size_t place = 0; place < suspects.size(); ++place) {
    const auto& age = suspects[place].trial_age;
    if (age) list.push_back({place, age->count()});
  }
  return list;
}

void ApplyTrials(const Json& list,
                 std::vector<quarantine::SuspectReport>& suspects) {
  for (const Json& entry : list) {
    const auto place = entry.at(0).get<std::size_t>();
    if (place >= suspects.size()) continue;
    suspects[place].trial_age = Duration(entry.at(1).get<std::int64_t>());
  }
}

Json LimitsToJson(const std::vector<limits::LimitReport>& reports) {
  Json list = Json::array();
  for (const limits::LimitReport& report : reports) {
    list.push_back(report.endpoint);
    list.push_back(report.per_second ? Json(*report.per_second) : Json());
    list.push_back(report.age.count());
  }
  return list;
}

std::vector<limits::LimitReport> LimitsFromJson(const Json& list) {
  constexpr std::size_t kMembers = 3;
  std::vector<limits::LimitReport> reports;
  for (std::size_t i = 0; i < list.size(); i += kMembers) {
    limits::LimitReport report;
    report.endpoint = list.at(i).get<std::uint32_t>();
    const Json& per_second = list.at(i + 1);
    if (!per_second.is_null()) report.per_second = per_second.get<double>();
    report.age = Duration(list.at(i + 2).get<std::int64_t>());
    reports.push_back(report);
  }
  return reports;
}

Json DemandsToJson(const std::vector<limits::ServiceDemand>& demands) {
  Json list = Json::array();
  for (const limits::ServiceDemand& demand : demands) {
    list.push_back(demand.service);
    list.push_back(Rounded(demand.per_second * kHundredths));
  }
  return list;
}

std::vector<limits::ServiceDemand> DemandsFromJson(const Json& list) {
  constexpr std::size_t kMembers = 2;
  std::vector<limits::ServiceDemand> demands;
  for (std::size_t i = 0; i < list.size(); i += kMembers) {
    demands.push_back({list.at(i).get<std::uint32_t>(),
                       list.at(i + 1).get<double>() / kHundredths});
  }
  return demands;
}

Json EngineStatusesToJson(const std::vector<KeyedEngineStatus>& statuses) {
  Json list = Json::array();
  for (const KeyedEngineStatus& status : statuses) {
    list.push_back(status.key);
    list.push_back(status.layers.begin);
    list.push_back(status.layers.end);
    list.push_back(Rounded(status.slowdown * kHundredths));
    list.push_back(Rounded(status.token_layers / kThousand));
  }
  return list;
}

std::vector<EndpointLoad> LoadsFromJson(const Json& list) {
  std::vector<EndpointLoad> loads;
  for (const Json& entry : list) {
    loads.push_back({entry.at(0).get<std::string>(), entry.at(1).get<double>(),
                     entry.at(2).get<double>(), entry.at(3).get<double>()});
  }
  return loads;
}

std::vector<Suspicion> SuspicionsFromJson(const Json& list) {
  std::vector<Suspicion> suspicions;
  for (const Json& entry : list) {
    suspicions.push_back({entry.at(0).get<std::string>(),
                          Duration(entry.at(1).get<std::int64_t>()),
                          entry.at(2).get<bool>()});
  }
  return suspicions;
}

std::vector<KeyedEngineStatus> EngineStatusesFromJson(const Json& list) {
  constexpr std::size_t kMembers = 5;
  std::vector<KeyedEngineStatus> statuses;
  for (std::size_t i = 0; i < list.size(); i += kMembers) {
    statuses.push_back(
        {list.at(i).get<std::uint32_t>(),
         pipeline::LayerRange{list.at(i + 1).get<std::uint32_t>(),
                              list.at(i + 2).get<std::uint32_t>()},
         list.at(i + 3).get<double>() / kHundredths,
         list.at(i + 4).get<double>() * kThousand});
  }
  return statuses;
}

/// Precondition: the JSON has the shape that Encode writes; otherwise it
/// throws.
Beacon FromJson(const Json& json) {
  Beacon beacon;
  beacon.instance = json.at("i").get<std::string>();
  beacon.uptime = Duration(json.at("u").get<std::int64_t>());
  beacon.failure_domain = json.at("d").get<std::string>();
  beacon.callers_address = json.at("a").get<std::string>();
  beacon.control_address = json.at("b").get<std::string>();
  beacon.processor_share = json.at("c").get<double>();
  beacon.ready = json.at("r").get<bool>();
  beacon.stopping = json.at("s").get<bool>();
  beacon.leads = json.at("l").get<bool>();
  beacon.store_epoch = CountMemberOrZero(json, "se");
  beacon.store_epoch_age = AgeFromJson(json.at("sa"));
  beacon.configuration = {CountMemberOrZero(json, "vn"),
                          RevisionFromJson(json.at("v"))};
  beacon.configuration_age = AgeFromJson(json.at("va"));
  beacon.endpoints_revision = RevisionFromJson(json.at("e"));
  beacon.endpoints_age = AgeFromJson(json.at("ea"));
  beacon.stamp = json.at("t").get<std::int64_t>();
  beacon.loads = LoadsFromJson(json.at("o"));
  beacon.covered_keys = {json.at("kr").at(0).get<std::uint32_t>(),
                         json.at("kr").at(1).get<std::uint32_t>()};
  beacon.fleet_loads = KeyedLoadsFromJson(json.at("fo"));
  beacon.suspicions = SuspicionsFromJson(json.at("q"));
  // An instance of an older build sends none of these.
  if (json.contains("re")) beacon.reaches_endpoints = json["re"].get<bool>();
  if (json.contains("al")) {
    beacon.alive = json["al"].get<std::vector<std::uint32_t>>();
  }
  if (json.contains("el")) beacon.limits = LimitsFromJson(json.at("el"));
  if (json.contains("sd")) beacon.demands = DemandsFromJson(json.at("sd"));
  if (json.contains("ss")) beacon.suspects = SuspectsFromJson(json.at("ss"));
  if (json.contains("st")) ApplyTrials(json.at("st"), beacon.suspects);
  if (json.contains("sw")) ApplyWaiting(json.at("sw"), beacon.suspects);
  beacon.engine_statuses = EngineStatusesFromJson(json.at("f"));
  beacon.ready_instances = json.at("ri").get<std::vector<std::uint32_t>>();
  beacon.backup_leaders = json.at("dp").get<std::vector<std::string>>();
  beacon.peers = json.at("p").get<std::vector<std::string>>();
  return beacon;
}

/// Keeps the first \p max_size elements of \p list in the order of \p order.
template <typename T, typename Order>
void KeepTop(std::vector<T>& list, std::size_t max_size, Order order) {
  if (list.size() <= max_size) return;
  std::nth_element(list.begin(),
                   list.begin() + static_cast<std::ptrdiff_t>(max_size),
                   list.end(), order);
  list.resize(max_size);
}

}  // namespace

void TrimToDatagram(Beacon& beacon) {
  // Together with one part of the leader's report, both stay below 64 KB with
  // ids of 36 bytes.
  constexpr std::size_t kMaxLoads = 500;
  constexpr std::size_t kMaxSuspicions = 200;
  KeepTop(beacon.loads, kMaxLoads,
          [](const EndpointLoad& left, const EndpointLoad& right) {
            return left.token_layers > right.token_layers;
          });
  KeepTop(beacon.suspicions, kMaxSuspicions,
          [](const Suspicion& left, const Suspicion& right) {
            return left.remaining > right.remaining;
          });
}

EncodedBeacon::EncodedBeacon(const Beacon& beacon) {
  Json json = {{"format", kFormat},
               {"i", beacon.instance},
               {"u", beacon.uptime.count()},
               {"d", beacon.failure_domain},
               {"a", beacon.callers_address},
               {"b", beacon.control_address},
               {"c", beacon.processor_share},
               {"r", beacon.ready},
               {"s", beacon.stopping},
               {"l", beacon.leads},
               {"se", beacon.store_epoch},
               {"sa", AgeOrNull(beacon.store_epoch_age)},
               {"vn", beacon.configuration.version},
               {"v", RevisionToJson(beacon.configuration.revision)},
               {"va", AgeOrNull(beacon.configuration_age)},
               {"e", RevisionToJson(beacon.endpoints_revision)},
               {"ea", AgeOrNull(beacon.endpoints_age)},
               {"t", beacon.stamp},
               {"o", LoadsToJson(beacon.loads)},
               {"kr", {beacon.covered_keys.first, beacon.covered_keys.last}},
               {"fo", KeyedLoadsToJson(beacon.fleet_loads)},
               {"q", SuspicionsToJson(beacon.suspicions)},
               {"el", LimitsToJson(beacon.limits)},
               {"sd", DemandsToJson(beacon.demands)},
               {"ss", SuspectsToJson(beacon.suspects)},
               {"f", EngineStatusesToJson(beacon.engine_statuses)},
               {"ri", beacon.ready_instances},
               {"dp", beacon.backup_leaders},
               {"p", beacon.peers}};
  Json trials = TrialsToJson(beacon.suspects);
  if (!trials.empty()) json["st"] = std::move(trials);
  if (!beacon.suspects.empty()) json["sw"] = WaitingToJson(beacon.suspects);
  if (!beacon.alive.empty()) json["al"] = beacon.alive;
  if (beacon.reaches_endpoints) json["re"] = *beacon.reaches_endpoints;
  Json::to_cbor(json, nlohmann::detail::output_adapter<char>(this->common));
}

std::string EncodedBeacon::For(std::int64_t echo,
                               const std::string& echo_of) const {
  std::string trailer;
  Json::to_cbor(Json::array({echo, echo_of}),
                nlohmann::detail::output_adapter<char>(trailer));
  std::string bytes = this->common + trailer;
  // The last byte is the trailer's length; ids are 36 bytes long.
  bytes.push_back(static_cast<char>(trailer.size()));
  return bytes;
}

std::string Encode(const Beacon& beacon) {
  return EncodedBeacon(beacon).For(beacon.echo, beacon.echo_of);
}

std::optional<Beacon> Decode(std::string_view bytes) {
  if (bytes.empty()) return std::nullopt;
  const std::size_t size = static_cast<unsigned char>(bytes.back());
  bytes.remove_suffix(1);
  if (size > bytes.size()) return std::nullopt;
  const std::size_t common = bytes.size() - size;
  // A sender of another build may leave members out; such a message is invalid.
  // Bytes that claim an array longer than the parser's limit make it throw,
  // too.
  try {
    const Json trailer = ReadCbor(bytes.substr(common));
    const Json json = ReadCbor(bytes.substr(0, common));
    if (!json.is_object() || CountMemberOrZero(json, "format") != kFormat) {
      return std::nullopt;
    }
    Beacon beacon = FromJson(json);
    beacon.echo = trailer.at(0).get<std::int64_t>();
    beacon.echo_of = trailer.at(1).get<std::string>();
    return beacon;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace toucanwharf::gossip
