#include <map>
#include <string>

#include "toucanwharf/records/parse.h"

namespace toucanwharf::records {
namespace {

using schema::Problem;
using schema::Problems;

/// Puts each record into the map of its kind.
class CatalogBuilder {
 public:
  explicit CatalogBuilder(Catalog& target) : catalog(target) {}

  void operator()(const Model& value) { Put(this->catalog.models, value); }
  void operator()(const ModelVersion& value) {
    Put(this->catalog.versions, value);
  }
  void operator()(const Adapter& value) { Put(this->catalog.adapters, value); }
  void operator()(const Pipeline& value) {
    Put(this->catalog.pipelines, value);
  }
  void operator()(const Customer& value) {
    Put(this->catalog.customers, value);
  }
  void operator()(const Service& value) { Put(this->catalog.services, value); }

 private:
  template <typename T>
  static void Put(std::map<std::string, T>& values, const T& value) {
    values.insert_or_assign(value.name, value);
  }

  Catalog& catalog;
};

Problem Missing(const std::string& place, const std::string& kind,
                const std::string& name) {
  return Problem{place, "\"" + name + "\"", "the name of a " + kind + " record",
                 "apply the " + kind + " record \"" + name +
                     "\" as well, or name one that exists"};
}

Problem Mismatch(const std::string& place, const std::string& found,
                 const std::string& owner, const std::string& expected) {
  return Problem{place, "\"" + found + "\"",
                 "\"" + expected + "\", the model of " + owner,
                 "name the same model in both records"};
}

/// Checks that \p version exists and is one of \p model.
void CheckVersion(const Catalog& catalog, const std::string& place,
                  const std::string& model, const std::string& version,
                  Problems& problems) {
  const auto found = catalog.versions.find(version);
  if (found == catalog.versions.end()) {
    problems.push_back(Missing(place + "/version", "version", version));
    return;
  }
  if (found->second.model == model) return;
  problems.push_back(Mismatch(place + "/model", model, "version." + version,
                              found->second.model));
}

void CheckModel(const Catalog& catalog, const std::string& place,
                const std::string& model, Problems& problems) {
  if (catalog.models.contains(model)) return;
  problems.push_back(Missing(place + "/model", "model", model));
}

void CheckPipeline(const Catalog& catalog, const Pipeline& pipeline,
                   Problems& problems) {
  const std::string place = "/pipeline." + pipeline.name + "/spec";
  CheckModel(catalog, place, pipeline.model, problems);
  CheckVersion(catalog, place, pipeline.model, pipeline.version, problems);
  if (pipeline.adapter.empty()) return;
  const auto adapter = catalog.adapters.find(pipeline.adapter);
  if (adapter == catalog.adapters.end()) {
    problems.push_back(
        Missing(place + "/adapter", "adapter", pipeline.adapter));
    return;
  }
  if (adapter->second.version == pipeline.version) return;
  problems.push_back(
      Problem{place + "/adapter", "\"" + pipeline.adapter + "\"",
              "an adapter of version \"" + pipeline.version + "\"",
              "name an adapter that was made for this version"});
}

/// Two customers with one key could read each other's answers (I2): the key is
/// all that tells them apart.
void CheckKeys(const Catalog& catalog, Problems& problems) {
  std::map<std::string, std::string> owners;
  for (const auto& [name, customer] : catalog.customers) {
    const auto [owner, fresh] = owners.emplace(customer.key_sha256, name);
    if (fresh) continue;
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
    const std::string place = "/adapter." + name + "/spec";
    CheckModel(catalog, place, adapter.model, problems);
    CheckVersion(catalog, place, adapter.model, adapter.version, problems);
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
