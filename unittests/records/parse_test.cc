#include "toucanwharf/records/parse.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace toucanwharf::records {
namespace {

using nlohmann::json;

const std::string kHash(64, 'a');

std::vector<Record> GoodRecords() {
  return {Model{"m", 4, 100, 10},
          ModelVersion{"v", "m", "store/v"},
          Adapter{"a", "m", "v"},
          Pipeline{"p", "m", "v", "a", 2, 64},
          Customer{"c", kHash, 2.5},
          Service{"s",
                  {ServiceCall{"POST", "/sign", false},
                   ServiceCall{"GET", "/lots", true}},
                  std::chrono::milliseconds(750)}};
}

BOOST_AUTO_TEST_CASE(BothSchemasGiveTheSameValues) {
  for (const Record& record : GoodRecords()) {
    for (const auto version : {SchemaVersion::kV1, SchemaVersion::kV2}) {
      const auto parsed = ParseRecord(ToJson(record, version).dump());
      BOOST_REQUIRE(parsed.has_value());
      BOOST_TEST((parsed.assume_value() == Document{version, record}));
    }
  }
}

BOOST_AUTO_TEST_CASE(AbsentMembersHaveDefaults) {
  const auto parsed = ParseRecord(R"({"schema": "toucanwharf/v2",
    "kind": "pipeline", "name": "p",
    "spec": {"serves": {"model": "m", "version": "v"}}})");
  BOOST_REQUIRE(parsed.has_value());
  const Record expected = Pipeline{"p", "m", "v", "", 1, 1024};
  BOOST_TEST((parsed.assume_value().record == expected));
}

BOOST_AUTO_TEST_CASE(ShapeOfTheOtherSchemaIsRefused) {
  json document = ToJson(Customer{"c", kHash, 1}, SchemaVersion::kV1);
  document["schema"] = NameOf(SchemaVersion::kV2);
  const auto parsed = ParseRecordValue(document);
  BOOST_REQUIRE(parsed.has_error());
  BOOST_TEST(parsed.assume_error().size() == 3u);
}

BOOST_AUTO_TEST_CASE(UnknownSchemaNamesTheKnownOnes) {
  const auto parsed = ParseRecord(
      R"({"schema": "toucanwharf/v9", "kind": "model", "name": "m", "spec": {}})");
  BOOST_REQUIRE(parsed.has_error());
  const schema::Problem& problem = parsed.assume_error()[0];
  BOOST_TEST(problem.pointer == "/schema");
  for (const std::string& name : SupportedSchemas()) {
    BOOST_TEST((problem.allowed.find(name) != std::string::npos));
  }
}

BOOST_AUTO_TEST_CASE(ReferencesOfGoodRecordsHold) {
  BOOST_TEST(CheckReferences(GoodRecords()).empty());
}

BOOST_AUTO_TEST_CASE(MissingReferencesAreAllReported) {
  const auto problems =
      CheckReferences({ModelVersion{"v", "m", "w"}, Adapter{"a", "m", "v2"},
                       Pipeline{"p", "m", "v2", "a2", 1, 1}});
  BOOST_TEST(problems.size() == 6u);
}

// Two customers have the same bearer key by mistake. The router can't
// distinguish them, so each could resume the other's answers by id.
BOOST_AUTO_TEST_CASE(SharedKeyIsAProblem) {
  const auto problems =
      CheckReferences({Customer{"c", kHash, 1}, Customer{"d", kHash, 1}});
  BOOST_REQUIRE(problems.size() == 1u);
  BOOST_TEST(problems[0].pointer == "/customer.d/spec");
}

BOOST_AUTO_TEST_CASE(CatalogKeepsEveryRecord) {
  const std::vector<Record> records = GoodRecords();
  BOOST_TEST((RecordsOf(BuildCatalog(7, records)) == records));
}

RC_BOOST_PROP(AnyBytesParseOrHaveProblems, (const std::string& text)) {
  const auto parsed = ParseRecord(text);
  RC_ASSERT(parsed.has_value() || !parsed.assume_error().empty());
}

json AnyJson(int depth) {
  const int kind = *rc::gen::inRange(0, depth == 0 ? 5 : 7);
  if (kind == 0) return nullptr;
  if (kind == 1) return *rc::gen::arbitrary<bool>();
  if (kind == 2) return *rc::gen::arbitrary<std::int64_t>();
  if (kind == 3) return *rc::gen::arbitrary<double>();
  if (kind == 4) return *rc::gen::element("", "m", "/x", "POST", "é", "a b");
  json value = kind == 5 ? json::array() : json::object();
  const int length = *rc::gen::inRange(0, 4);
  for (int item = 0; item < length; ++item) {
    if (kind == 5) {
      value.push_back(AnyJson(depth - 1));
      continue;
    }
    const std::string name = *rc::gen::element<std::string>(
        "calls", "model", "layers", "key", "share", "methods", "x~/y", "");
    value[name] = AnyJson(depth - 1);
  }
  return value;
}

/// Replaces or removes the value at a random position in \p value.
void Mutate(json& value) {
  const bool container = value.is_structured() && !value.empty();
  if (!container || *rc::gen::inRange(0, 4) == 0) {
    value = AnyJson(2);
    return;
  }
  auto member = value.begin();
  std::advance(member, *rc::gen::inRange<std::size_t>(0, value.size()));
  if (*rc::gen::inRange(0, 6) == 0) {
    value.erase(member);
    return;
  }
  Mutate(*member);
}

RC_BOOST_PROP(MutatedRecordsParseOrHaveProblems, ()) {
  const auto records = GoodRecords();
  const auto version =
      *rc::gen::element(SchemaVersion::kV1, SchemaVersion::kV2);
  json document = ToJson(
      records[*rc::gen::inRange<std::size_t>(0, records.size())], version);
  const int mutations = *rc::gen::inRange(1, 4);
  for (int round = 0; round < mutations; ++round) Mutate(document);
  const auto parsed = ParseRecordValue(document);
  if (parsed.has_error()) {
    RC_ASSERT(!parsed.assume_error().empty());
    return;
  }
  const Document& valid = parsed.assume_value();
  const auto again = ParseRecordValue(ToJson(valid.record, valid.schema));
  RC_ASSERT(again.has_value());
}

}  // namespace
}  // namespace toucanwharf::records
