#include "toucanwharf/records/parse.h"

#include <cassert>
#include <chrono>
#include <map>
#include <utility>

namespace toucanwharf::records {

std::string_view EmbeddedSchema(std::string_view path);

namespace {

using nlohmann::json;

constexpr double kDefaultWeight = 1.0;
constexpr std::int64_t kDefaultTimeoutMs = 10000;
constexpr std::uint32_t kDefaultReplicas = 1;
constexpr std::uint32_t kDefaultMaxTokens = 1024;
constexpr const char* kKinds[] = {"model",    "version",  "adapter",
                                  "pipeline", "customer", "service"};

/// All embedded schemas, parsed once per process.
class SchemaSet {
 public:
  SchemaSet() {
    this->Add("records/envelope.json");
    for (const char* kind : kKinds) {
      this->Add(std::string("records/v1/") + kind + ".json");
      this->Add(std::string("records/v2/") + kind + ".json");
    }
  }

  const json& Get(const std::string& path) const {
    return this->schemas.at(path);
  }

 private:
  void Add(const std::string& path) {
    json parsed = json::parse(EmbeddedSchema(path), nullptr, false);
    assert(parsed.is_object() && !parsed.empty() &&
           "CMake embeds every schema file");
    this->schemas.emplace(path, std::move(parsed));
  }

  std::map<std::string, json> schemas;
};

const SchemaSet& Schemas() {
  static const SchemaSet* const kSchemas = new SchemaSet();
  return *kSchemas;
}

Model ReadModel(const std::string& name, const json& spec) {
  return Model{name, spec.at("layers"), spec.at("bytes_per_layer"),
               spec.at("kv_bytes_per_token")};
}

ModelVersion ReadVersion(const std::string& name, const json& spec) {
  return ModelVersion{name, spec.at("model"), spec.at("weights")};
}

Adapter ReadAdapter(const std::string& name, const json& spec) {
  return Adapter{name, spec.at("model"), spec.at("version")};
}

Pipeline ReadPipeline(const std::string& name, const json& spec,
                      SchemaVersion version) {
  const bool nested = version == SchemaVersion::kV2;
  const json& serves = nested ? spec.at("serves") : spec;
  const json limits = nested ? spec.value("limits", json::object()) : spec;
  Pipeline pipeline;
  pipeline.name = name;
  pipeline.model = serves.at("model");
  pipeline.version = serves.at("version");
  pipeline.adapter = serves.value("adapter", "");
  pipeline.replicas = spec.value("replicas", kDefaultReplicas);
  pipeline.max_tokens = limits.value("max_tokens", kDefaultMaxTokens);
  return pipeline;
}

Customer ReadCustomer(const std::string& name, const json& spec,
                      SchemaVersion version) {
  if (version == SchemaVersion::kV1) {
    return Customer{name, spec.at("key_sha256"),
                    spec.value("weight", kDefaultWeight)};
  }
  const json share = spec.value("share", json::object());
  return Customer{name, spec.at("key").at("sha256"),
                  share.value("weight", kDefaultWeight)};
}

std::vector<ServiceCall> ReadCalls(const json& calls, SchemaVersion version) {
  std::vector<ServiceCall> result;
  for (const json& call : calls) {
    const std::string prefix = call.at("path_prefix");
    const bool idempotent = call.value("idempotent", false);
    if (version == SchemaVersion::kV1) {
      result.push_back(ServiceCall{call.at("method"), prefix, idempotent});
      continue;
    }
    for (const json& method : call.at("methods")) {
      result.push_back(ServiceCall{method, prefix, idempotent});
    }
  }
  return result;
}

Service ReadService(const std::string& name, const json& spec,
                    SchemaVersion version) {
  const json timeout = spec.value("timeout", json::object());
  const std::int64_t millis = version == SchemaVersion::kV1
                                  ? spec.value("timeout_ms", kDefaultTimeoutMs)
                                  : timeout.value("ms", kDefaultTimeoutMs);
  return Service{name, ReadCalls(spec.at("calls"), version),
                 std::chrono::milliseconds(millis)};
}

Record ReadRecord(const std::string& kind, const std::string& name,
                  const json& spec, SchemaVersion version) {
  if (kind == "model") return ReadModel(name, spec);
  if (kind == "version") return ReadVersion(name, spec);
  if (kind == "adapter") return ReadAdapter(name, spec);
  if (kind == "pipeline") return ReadPipeline(name, spec, version);
  if (kind == "customer") return ReadCustomer(name, spec, version);
  assert(kind == "service" &&
         "the envelope schema allows only the listed kinds");
  return ReadService(name, spec, version);
}

}  // namespace

std::vector<std::string> SupportedSchemas() {
  return {NameOf(SchemaVersion::kV1), NameOf(SchemaVersion::kV2)};
}

std::string NameOf(SchemaVersion version) {
  return version == SchemaVersion::kV1 ? "toucanwharf/v1" : "toucanwharf/v2";
}

schema::Checked<Document> ParseRecord(std::string_view text) {
  auto document = schema::ParseJson(text);
  if (!document) return std::move(document).assume_error();
  return ParseRecordValue(document.assume_value());
}

schema::Checked<Document> ParseRecordValue(const json& document) {
  auto problems =
      schema::CheckDocument(Schemas().Get("records/envelope.json"), document);
  if (!problems.empty()) return problems;
  const std::string kind = document.at("kind");
  const bool is_v1 = document.at("schema") == NameOf(SchemaVersion::kV1);
  const auto version = is_v1 ? SchemaVersion::kV1 : SchemaVersion::kV2;
  const std::string directory = is_v1 ? "records/v1/" : "records/v2/";
  problems = schema::CheckDocument(Schemas().Get(directory + kind + ".json"),
                                   document);
  if (!problems.empty()) return problems;
  return Document{version, ReadRecord(kind, document.at("name"),
                                      document.at("spec"), version)};
}

}  // namespace toucanwharf::records
