#include <map>
#include <string>

#include "toucanwharf/records/parse.h"

namespace toucanwharf::records {
namespace {

using schema::Problem;
using schema::Problems;

/// Inserts each record into the map of its kind.
class CatalogBuilder {
 public:
  explicit CatalogBuilder(Catalog& target) : catalog(target) {}

  void operator()(const Model& value) { Insert(this->catalog.models, value); }
  void operator()(const ModelVersion& value) {
    Insert(this->catalog.versions, value);
  }
  void operator()(const Adapter& value) {
    Insert(this->catalog.adapters, value);
  }
  void operator()(const Pipeline& value) {
    Insert(this->catalog.pipelines, value);
  }
  void operator()(const Customer& value) {
    Insert(this->catalog.customers, value);
  }
  void operator()(const Service& value) {
    Insert(this->catalog.services, value);
  }

 private:
  template <typename T>
  static void Insert(std::map<std::string, T>& values, const T& value) {
    values.insert_or_assign(value.name, value);
  }

  Catalog& catalog;
};

Problem Missing(const std::string& pointer, const std::string& kind,
                const std::string& name) {
  return Problem{pointer, "\"" + name + "\"",
                 "the name of a " + kind + " record",
                 "apply the " + kind + " record \"" + name +
                     "\" as well, or name one that exists"};
}

Problem Mismatch(const std::string& pointer, const std::string& found,
                 const std::string& owner, const std::string& expected) {
  return Problem{pointer, "\"" + found + "\"",
                 "\"" + expected + "\", the model of " + owner,
                 "name the same model in both records"};
}

/// Checks that \p version exists and belongs to \p model.
void CheckVersion(const Catalog& catalog, const std::string& pointer,
                  const std::string& model, const std::string& version,
                  Problems& problems) {
  const auto found = catalog.versions.find(version);
  if (found == catalog.versions.end()) {
    problems.push_back(Missing(pointer + "/version", "version", version));
    return;
  }
  if (found->second.model == model) return;
  problems.push_back(Mismatch(pointer + "/model", model, "version." + version,
                              found->second.model));
}

void CheckModel(const Catalog& catalog, const std::string& pointer,
                const std::string& model, Problems& problems) {
  if (catalog.models.contains(model)) return;
  problems.push_back(Missing(pointer + "/model", "model", model));
}

void CheckPipeline(const Catalog& catalog, const Pipeline& pipeline,
                   Problems& problems) {
  const std::string pointer = "/pipeline." + pipeline.name + "/spec";
  CheckModel(catalog, pointer, pipeline.model, problems);
  CheckVersion(catalog, pointer, pipeline.model, pipeline.version, problems);
  if (pipeline.adapter.empty()) return;
  const auto adapter = catalog.adapters.find(pipeline.adapter);
  if (adapter == catalog.adapters.end()) {
    problems.push_back(
        Missing(pointer + "/adapter", "adapter", pipeline.adapter));
    return;
  }
  if (adapter->second.version == pipeline.version) return;
  problems.push_back(
      Problem{pointer + "/adapter", "\"" + pipeline.adapter + "\"",
              "an adapter of version \"" + pipeline.version + "\"",
              "name an adapter that was made for this version"});
}

/// Checks that no two customers share a key. Such customers could read each
/// other's answers (I2), since only the key distinguishes them.
void CheckKeys(const Catalog& catalog, Problems& problems) {
  std::map<std::string, std::string> owners;
  for (const auto& [name, customer] : catalog.customers) {
    const auto [owner, inserted] = owners.emplace(customer.key_sha256, name);
    if (inserted) continue;
    problems.push_back(Problem{"/customer." + name + "/spec",
                               "the key hash of customer." + owner->second,
                               "a key of its own",
                               "give each customer a key of its own"});
  }
}

}  // namespace

Problems CheckReferences(const std::vector<Record>& records) {
  const Catalog catalog = BuildCatalog(0, records);
  Problems problems;
  for (const auto& [name, version] : catalog.versions) {
    CheckModel(catalog, "/version." + name + "/spec", version.model, problems);
  }
  for (const auto& [name, adapter] : catalog.adapters) {
    const std::string pointer = "/adapter." + name + "/spec";
    CheckModel(catalog, pointer, adapter.model, problems);
    CheckVersion(catalog, pointer, adapter.model, adapter.version, problems);
  }
  for (const auto& [name, pipeline] : catalog.pipelines) {
    CheckPipeline(catalog, pipeline, problems);
  }
  CheckKeys(catalog, problems);
  return problems;
}

Catalog BuildCatalog(std::uint64_t generation,
                     const std::vector<Record>& records) {
  Catalog catalog;
  catalog.generation = generation;
  CatalogBuilder builder(catalog);
  for (const Record& record : records) std::visit(builder, record);
  return catalog;
}

std::vector<Record> RecordsOf(const Catalog& catalog) {
  std::vector<Record> records;
  const auto add = [&records](const auto& values) {
    for (const auto& [name, value] : values) records.emplace_back(value);
  };
  add(catalog.models);
  add(catalog.versions);
  add(catalog.adapters);
  add(catalog.pipelines);
  add(catalog.customers);
  add(catalog.services);
  return records;
}

}  // namespace toucanwharf::records
