#include <chrono>

#include "toucanwharf/records/parse.h"

namespace toucanwharf::records {
namespace {

using nlohmann::json;

/// Returns the spec of a record of any kind in one schema version.
class SpecWriter {
 public:
  explicit SpecWriter(SchemaVersion version) : schema(version) {}

  json operator()(const Model& model) const {
    return {{"layers", model.layers},
            {"bytes_per_layer", model.bytes_per_layer},
            {"kv_bytes_per_token", model.kv_bytes_per_token}};
  }

  json operator()(const ModelVersion& version) const {
    return {{"model", version.model}, {"weights", version.weights}};
  }

  json operator()(const Adapter& adapter) const {
    return {{"model", adapter.model}, {"version", adapter.version}};
  }

  json operator()(const Pipeline& pipeline) const {
    json serves = {{"model", pipeline.model},
                   {"version", pipeline.version},
                   {"adapter", pipeline.adapter}};
    if (this->schema == SchemaVersion::kV2) {
      return {{"serves", serves},
              {"replicas", pipeline.replicas},
              {"limits", {{"max_tokens", pipeline.max_tokens}}}};
    }
    serves["replicas"] = pipeline.replicas;
    serves["max_tokens"] = pipeline.max_tokens;
    return serves;
  }

  json operator()(const Customer& customer) const {
    if (this->schema == SchemaVersion::kV1) {
      return {{"key_sha256", customer.key_sha256}, {"weight", customer.weight}};
    }
    return {{"key", {{"sha256", customer.key_sha256}}},
            {"share", {{"weight", customer.weight}}}};
  }

  json operator()(const Service& service) const {
    json calls = json::array();
    for (const ServiceCall& call : service.calls) calls.push_back(Call(call));
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(service.timeout)
            .count();
    if (this->schema == SchemaVersion::kV1) {
      return {{"calls", calls}, {"timeout_ms", millis}};
    }
    return {{"calls", calls}, {"timeout", {{"ms", millis}}}};
  }

 private:
  json Call(const ServiceCall& call) const {
    json result = {{"path_prefix", call.path_prefix},
                   {"idempotent", call.idempotent}};
    if (this->schema == SchemaVersion::kV1) {
      result["method"] = call.method;
    } else {
      result["methods"] = json::array({call.method});
    }
    return result;
  }

  SchemaVersion schema;
};

}  // namespace

json ToJson(const Record& record, SchemaVersion version) {
  return {{"schema", NameOf(version)},
          {"kind", KindOf(record)},
          {"name", NameOf(record)},
          {"spec", std::visit(SpecWriter(version), record)}};
}

std::string KindOf(const Record& record) {
  constexpr const char* kKinds[] = {"model",    "version",  "adapter",
                                    "pipeline", "customer", "service"};
  static_assert(std::size(kKinds) == std::variant_size_v<Record>);
  return kKinds[record.index()];
}

std::string NameOf(const Record& record) {
  return std::visit([](const auto& value) { return value.name; }, record);
}

std::string KeyOf(const Record& record) {
  return KindOf(record) + "." + NameOf(record);
}

}  // namespace toucanwharf::records
