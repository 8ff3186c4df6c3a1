#include "toucanwharf/gossip/beacon.h"

#include <nlohmann/json.hpp>

#include "toucanwharf/support/json.h"

namespace toucanwharf::gossip {
namespace {

using Json = nlohmann::json;

/// Another layout of the message gets another number, and is ignored by
/// instances that don't know it.
constexpr std::uint64_t kFormat = 5;

Json AgeOrNull(const std::optional<Duration>& age) {
  return age ? Json(age->count()) : Json();
}

std::optional<Duration> AgeOf(const Json& json) {
  if (!json.is_number_integer()) return std::nullopt;
  return Duration(json.get<std::int64_t>());
}

Json LoadsToJson(const std::vector<EndpointLoad>& loads) {
  Json list = Json::array();
  for (const EndpointLoad& load : loads) {
    list.push_back(
        {load.endpoint, load.answers, load.token_layers, load.first_of});
  }
  return list;
}

Json SuspicionsToJson(const std::vector<Suspicion>& suspicions) {
  Json list = Json::array();
  for (const Suspicion& one : suspicions) {
    list.push_back({one.endpoint, one.remaining.count(), one.silent});
  }
  return list;
}

Json FactsToJson(const std::vector<EngineFact>& facts) {
  Json list = Json::array();
  for (const EngineFact& fact : facts) {
    list.push_back({fact.endpoint, fact.born, fact.layers.begin,
                    fact.layers.end, fact.slowdown, fact.token_layers});
  }
  return list;
}

std::vector<EndpointLoad> LoadsOf(const Json& list) {
  std::vector<EndpointLoad> loads;
  for (const Json& one : list) {
    loads.push_back({one.at(0).get<std::string>(), one.at(1).get<double>(),
                     one.at(2).get<double>(), one.at(3).get<double>()});
  }
  return loads;
}

std::vector<Suspicion> SuspicionsOf(const Json& list) {
  std::vector<Suspicion> suspicions;
  for (const Json& one : list) {
    suspicions.push_back({one.at(0).get<std::string>(),
                          Duration(one.at(1).get<std::int64_t>()),
                          one.at(2).get<bool>()});
  }
  return suspicions;
}

std::vector<EngineFact> FactsOf(const Json& list) {
  std::vector<EngineFact> facts;
  for (const Json& one : list) {
    facts.push_back({one.at(0).get<std::string>(),
                     one.at(1).get<std::uint64_t>(),
                     pipeline::LayerRange{one.at(2).get<std::uint32_t>(),
                                          one.at(3).get<std::uint32_t>()},
                     one.at(4).get<double>(), one.at(5).get<double>()});
  }
  return facts;
}

/// Precondition: the JSON has the shape that Encode writes; else it throws.
Beacon FromJson(const Json& json) {
  Beacon beacon;
  beacon.instance = json.at("instance").get<std::string>();
  beacon.uptime = Duration(json.at("uptime").get<std::int64_t>());
  beacon.failure_domain = json.at("domain").get<std::string>();
  beacon.callers_address = json.at("callers").get<std::string>();
  beacon.control_address = json.at("control").get<std::string>();
  beacon.processor_share = json.at("share").get<double>();
  beacon.ready = json.at("ready").get<bool>();
  beacon.stopping = json.at("stopping").get<bool>();
  beacon.leads = json.at("leads").get<bool>();
  beacon.configuration_revision = NumberMember(json, "config");
  beacon.configuration_age = AgeOf(json.at("config_age"));
  beacon.endpoints_revision = NumberMember(json, "endpoints");
  beacon.endpoints_age = AgeOf(json.at("endpoints_age"));
  beacon.stamp = json.at("stamp").get<std::int64_t>();
  beacon.loads = LoadsOf(json.at("loads"));
  beacon.fleet_loads = LoadsOf(json.at("fleet_loads"));
  beacon.suspicions = SuspicionsOf(json.at("suspicions"));
  beacon.facts = FactsOf(json.at("facts"));
  beacon.peers = json.at("peers").get<std::vector<std::string>>();
  return beacon;
}

}  // namespace

EncodedBeacon::EncodedBeacon(const Beacon& beacon) {
  const Json json = {{"format", kFormat},
                     {"instance", beacon.instance},
                     {"uptime", beacon.uptime.count()},
                     {"domain", beacon.failure_domain},
                     {"callers", beacon.callers_address},
                     {"control", beacon.control_address},
                     {"share", beacon.processor_share},
                     {"ready", beacon.ready},
                     {"stopping", beacon.stopping},
                     {"leads", beacon.leads},
                     {"config", beacon.configuration_revision},
                     {"config_age", AgeOrNull(beacon.configuration_age)},
                     {"endpoints", beacon.endpoints_revision},
                     {"endpoints_age", AgeOrNull(beacon.endpoints_age)},
                     {"stamp", beacon.stamp},
                     {"loads", LoadsToJson(beacon.loads)},
                     {"fleet_loads", LoadsToJson(beacon.fleet_loads)},
                     {"suspicions", SuspicionsToJson(beacon.suspicions)},
                     {"facts", FactsToJson(beacon.facts)},
                     {"peers", beacon.peers}};
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
  // A sender of another build may leave members out; such a message is none.
  // Bytes that claim an array longer than any make the parser throw as well.
  try {
    const Json trailer = Json::from_cbor(bytes.substr(common), true, false);
    const Json json = Json::from_cbor(bytes.substr(0, common), true, false);
    if (!json.is_object() || NumberMember(json, "format") != kFormat) {
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
