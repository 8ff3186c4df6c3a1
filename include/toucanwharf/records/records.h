#ifndef TOUCANWHARF_RECORDS_RECORDS_H_
#define TOUCANWHARF_RECORDS_RECORDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "toucanwharf/support/clock.h"

/// The records that operators write, as immutable values. The parser of the
/// schema version (parse.h) creates them; a change creates a new value.
namespace toucanwharf::records {

/// A family of weights with the same shape.
struct Model {
  std::string name;
  std::uint32_t layers = 0;
  std::uint64_t bytes_per_layer = 0;
  std::uint64_t kv_bytes_per_token = 0;

  friend bool operator==(const Model&, const Model&) = default;
};

/// One set of weights for a model.
struct ModelVersion {
  std::string name;
  std::string model;
  /// Location of the weights in the weight store.
  std::string weights;

  friend bool operator==(const ModelVersion&, const ModelVersion&) = default;
};

/// A small modification of the weights of one version.
struct Adapter {
  std::string name;
  std::string model;
  std::string version;

  friend bool operator==(const Adapter&, const Adapter&) = default;
};

/// What callers select as `model`: a version, optionally with an adapter.
struct Pipeline {
  std::string name;
  std::string model;
  std::string version;
  /// Empty for none.
  std::string adapter;
  /// Number of complete covers of the layers to keep loaded.
  std::uint32_t replicas = 1;
  std::uint32_t max_tokens = 1024;

  friend bool operator==(const Pipeline&, const Pipeline&) = default;
};

/// A customer, identified by the hash of its bearer key.
struct Customer {
  std::string name;
  std::string key_sha256;
  /// Share of the capacity, relative to the other customers.
  double weight = 1.0;

  friend bool operator==(const Customer&, const Customer&) = default;
};

/// A class of calls to a plain service.
struct ServiceCall {
  std::string method;
  std::string path_prefix;
  /// Whether the call may safely be repeated.
  bool idempotent = false;

  friend bool operator==(const ServiceCall&, const ServiceCall&) = default;
};

/// A plain service besides the model engines. A call that matches no entry of
/// `calls` is treated as not idempotent.
struct Service {
  std::string name;
  std::vector<ServiceCall> calls;
  Duration timeout{std::chrono::seconds(10)};

  friend bool operator==(const Service&, const Service&) = default;
};

using Record =
    std::variant<Model, ModelVersion, Adapter, Pipeline, Customer, Service>;

/// All accepted records of one generation.
struct Catalog {
  std::uint64_t generation = 0;
  std::map<std::string, Model> models;
  std::map<std::string, ModelVersion> versions;
  std::map<std::string, Adapter> adapters;
  std::map<std::string, Pipeline> pipelines;
  std::map<std::string, Customer> customers;
  std::map<std::string, Service> services;

  friend bool operator==(const Catalog&, const Catalog&) = default;
};

}  // namespace toucanwharf::records

#endif  // TOUCANWHARF_RECORDS_RECORDS_H_
