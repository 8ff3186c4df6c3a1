#ifndef TOUCANWHARF_RECORDS_RECORDS_H_
#define TOUCANWHARF_RECORDS_RECORDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "toucanwharf/support/clock.h"

/// The records that operators write, as values. Each is made by the parser of
/// its schema version (parse.h) and never changed afterwards; whoever needs
/// another value makes a new one.
namespace toucanwharf::records {

/// A family of weights that shares one shape.
struct Model {
  std::string name;
  std::uint32_t layers = 0;
  std::uint64_t bytes_per_layer = 0;
  std::uint64_t kv_bytes_per_token = 0;

  friend bool operator==(const Model&, const Model&) = default;
};

/// One set of weights of a model.
struct ModelVersion {
  std::string name;
  std::string model;
  /// Where the weight store keeps them.
  std::string weights;

  friend bool operator==(const ModelVersion&, const ModelVersion&) = default;
};

/// A small change of weights on top of one version.
struct Adapter {
  std::string name;
  std::string model;
  std::string version;

  friend bool operator==(const Adapter&, const Adapter&) = default;
};

/// What callers name as `model`: a version, and maybe an adapter, as served.
struct Pipeline {
  std::string name;
  std::string model;
  std::string version;
  /// Empty for none.
  std::string adapter;
  /// Complete covers of the layers to keep loaded.
  std::uint32_t replicas = 1;
  std::uint32_t max_tokens = 1024;

  friend bool operator==(const Pipeline&, const Pipeline&) = default;
};

/// Who calls, by the hash of its bearer key.
struct Customer {
  std::string name;
  std::string key_sha256;
  /// Share of the capacity, relative to the other customers.
  double weight = 1.0;

  friend bool operator==(const Customer&, const Customer&) = default;
};

/// One kind of call of a plain service.
struct ServiceCall {
  std::string method;
  std::string path_prefix;
  /// Whether the call may be repeated without harm.
  bool idempotent = false;

  friend bool operator==(const ServiceCall&, const ServiceCall&) = default;
};

/// A plain service beside the model engines. A call that no entry of `calls`
/// matches is taken as not idempotent.
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
