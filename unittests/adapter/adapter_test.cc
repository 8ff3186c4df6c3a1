#include "platform/adapter.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "platform/decode.h"
#include "platform/settings.h"

namespace toucanwharf::adapter {
namespace {

using std::chrono::milliseconds;

const std::string kSettings =
    "node_name=front-1\nzone=zone-a\nip=10.1.0.4\n"
    "listen.front=10.1.0.4:1\nlisten.ready=10.1.0.4:2\n"
    "listen.control=10.1.0.4:3\nlisten.directory=10.1.0.4:4\n"
    "port_range=7340,7355\nseeds=10.1.0.4:3,10.2.0.4:3\n"
    "provider.addr=10.9.0.1:5\nbounds.revoke_ms=5000\n"
    "bounds.grace_s=8\nbounds.strict_revoke=true\n"
    "bounds.budget_ratio=0.2\nbounds.budget_slack=196\n"
    "a.field.to.come=anything\n";

BOOST_AUTO_TEST_CASE(SettingsAreRead) {
  const auto parsed = ParsePlatformSettings(kSettings);
  BOOST_TEST(parsed.problems.empty());
  BOOST_TEST(parsed.settings.name == "front-1");
  BOOST_TEST(parsed.settings.failure_domain == "zone-a");
  BOOST_TEST(parsed.settings.datagram_address == "10.1.0.4:7340");
  BOOST_TEST(parsed.settings.seeds.size() == 2U);
  BOOST_TEST((parsed.settings.bounds.grace == std::chrono::seconds(8)));
  BOOST_TEST(parsed.settings.budget.slack == 196);
}

// Guards against a machine whose stated limits are not read, so that nothing
// bounds what clients take of it.
BOOST_AUTO_TEST_CASE(MachineLimitsAreRead) {
  const auto stated = ParsePlatformSettings(
      kSettings + "limits.memory_mb=260\nlimits.max_fds=4200\n");
  BOOST_TEST(stated.problems.empty());
  BOOST_TEST(stated.settings.machine.memory_bytes.value() == 260'000'000U);
  BOOST_TEST(stated.settings.machine.descriptors.value() == 4200U);
  const auto absent = ParsePlatformSettings(kSettings);
  BOOST_TEST(!absent.settings.machine.memory_bytes.has_value());
  const auto too_small = ParsePlatformSettings(
      kSettings + "limits.memory_mb=8\nlimits.max_fds=-1\n");
  BOOST_TEST(too_small.problems.size() == 2U);
}

// Guards against reporting only the first problem, so that an operator would
// have to correct a settings file once for each.
BOOST_AUTO_TEST_CASE(AllProblemsAreReportedTogether) {
  const auto parsed = ParsePlatformSettings(
      "node_name=front-1\nip=10.1.0.4\nlisten.front=nowhere\n"
      "bounds.revoke_ms=soon\nbounds.strict_revoke=perhaps\n");
  const auto named = [&](const std::string& field) {
    return std::any_of(
        parsed.problems.begin(), parsed.problems.end(),
        [&](const std::string& line) { return line.starts_with(field); });
  };
  for (const char* field :
       {"zone", "listen.front", "listen.ready", "provider.addr",
        "bounds.revoke_ms", "bounds.strict_revoke"}) {
    BOOST_TEST(named(field), field);
  }
}

BOOST_AUTO_TEST_CASE(ConfigurationIsDecoded) {
  const auto read = DecodeConfiguration(R"({"version":7,
    "routes":[{"name":"r","host":"h.example","path_prefix":"/p/",
      "kind":"stream","timeout_ms":20000,"slo_ms":500,"priority":1,
      "split":[{"service":"s","weight":90},{"service":"t","weight":10}],
      "max_attempts":2,"public":false,"resumable":true}],
    "services":[{"name":"s","max_conns":1058,"engine":{"slots":192,
      "kv_token_bytes":590000,"step_ms":1.02,"read_per_s":164000.0,
      "usual":{"prompt":775,"answer":220},"layers":80,"layer_mb":1750.0,
      "kinds":[{"name":"a100","mb":72000.0,"pace":2.4,"read_x":3.2}]}}],
    "limits":{"max_header_bytes":16384,"idle_timeout_ms":15000},
    "tenants":[{"name":"n","api_keys":["k"],"priority":1}]})");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->version == 7U);
  const routes::Route& route = read->routes.at(0);
  BOOST_CHECK(route.kind == routes::RequestKind::kStream);
  BOOST_TEST(route.Repeatable());
  BOOST_TEST((route.timeout == std::chrono::seconds(20)));
  BOOST_TEST(route.services.size() == 2U);
  BOOST_REQUIRE(read->services.at(0).engine.has_value());
  const placement::EngineModel& model = *read->services.at(0).engine;
  BOOST_TEST(model.token_mb == 0.59);
  BOOST_TEST(model.prefill_tokens_per_milli == 164);
  BOOST_TEST(model.kinds.at(0).prefill_factor == 3.2);
  BOOST_TEST(read->customers.at(0).keys.at(0) == "k");
}

// A kind of request that a later version of the platform adds must not be
// repeated by a router that doesn't know it (I4).
BOOST_AUTO_TEST_CASE(UnknownKindIsNotRepeated) {
  const auto read = DecodeConfiguration(
      R"({"version":1,"routes":[{"host":"h","path_prefix":"/","kind":"new",
          "resumable":true}]})");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(!read->routes.at(0).Repeatable());
}

BOOST_AUTO_TEST_CASE(EndpointIsDecoded) {
  store::Object object;
  object.key = {"servers", "i-1"};
  object.value =
      R"({"service":"s","addr":"10.0.0.9:80","zone":"z","slots":192,
          "state":"draining","kind":"a100","born":1786051407370,
          "layers":{"from":71,"target":76,"version":1},"seq":6})";
  const auto read = DecodeEndpoint(object);
  BOOST_REQUIRE(read.has_value());
  BOOST_CHECK(read->state == endpoints::EndpointState::kDraining);
  BOOST_CHECK(read->layers == (pipeline::LayerRange{71, 76}));
  BOOST_TEST(read->start_time_ms == 1786051407370U);
}

BOOST_AUTO_TEST_CASE(ReportNamesStalledAnswers) {
  const auto read = DecodeReport(
      R"({"kind":"a100","layers":null,"busy":true,"seq":2,"pace":1.5,
          "born":5,"kv_used":4100,"stalled":[{"id":"r-1","addr":"10.0.0.9:80"}]})");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->engine.busy);
  BOOST_TEST(read->engine.slowdown == 1.5);
  BOOST_TEST(read->engine.token_layers == 4100);
  BOOST_TEST(read->engine.layers.Count() == 0U);
  BOOST_CHECK(read->stalled.at(0) ==
              (instance::StalledAnswer{"r-1", "10.0.0.9:80"}));
}

// Bytes of another writer or a truncated message must be decoded without a
// crash or undefined behavior.
RC_BOOST_PROP(AnyTextIsDecodedSafely, (const std::string& text)) {
  store::Object object;
  object.key = {"servers", "i-1"};
  object.value = text;
  (void)DecodeEndpoint(object);
  (void)DecodeConfiguration(text);
  (void)DecodeReport(text);
  (void)ParsePlatformSettings(text);
}

BOOST_AUTO_TEST_CASE(ValuesOfWrongTypeGiveNoEndpoint) {
  for (const char* value :
       {"7", "null", "[]", "{}", R"({"service":5,"addr":"a:1","zone":"z",
        "slots":1,"state":"ready"})",
        R"({"service":"s","addr":"a:1","zone":"z","slots":"many",
        "state":"ready"})",
        R"({"service":"s","addr":"a:1","zone":"z","slots":1,
        "state":"asleep"})"}) {
    store::Object object;
    object.key = {"servers", "i-1"};
    object.value = value;
    BOOST_TEST(!DecodeEndpoint(object).has_value(), value);
  }
}

BOOST_AUTO_TEST_CASE(OrderRequestsCarryExpectedSequence) {
  const auto place = PlatformAdapter::OrderRequest({"i-1", {20, 31}, 4});
  const auto body = nlohmann::json::parse(place.body.Text());
  BOOST_TEST(body["op"] == "place");
  BOOST_TEST(body["from"] == 20);
  BOOST_TEST(body["target"] == 31);
  BOOST_TEST(body["expected"] == 4);
  BOOST_TEST(PlatformAdapter::PathText({{"i-1", "10.0.0.1:8", {0, 20}},
                                        {"i-2", "10.0.0.2:8", {20, 80}}}) ==
             "10.0.0.1:8=0-20,10.0.0.2:8=20-80");
  using placement::OrderOutcome;
  BOOST_CHECK(PlatformAdapter::ToOrderOutcome(202) == OrderOutcome::kAccepted);
  BOOST_CHECK(PlatformAdapter::ToOrderOutcome(409) == OrderOutcome::kRefused);
  BOOST_CHECK(PlatformAdapter::ToOrderOutcome(503) == OrderOutcome::kUnknown);
}

BOOST_AUTO_TEST_CASE(EntryAnswerHasAddressesAndTime) {
  const auto body = nlohmann::json::parse(
      PlatformAdapter::EntryResponse({"10.1.0.4:1"}, milliseconds(1500)));
  BOOST_TEST(body["addrs"][0] == "10.1.0.4:1");
  BOOST_TEST(body["ttl_s"] == 1.5);
  const auto question = PlatformAdapter::ToEntryRequest(
      "/toucanwharf/resolve?name=h&zone=zone-a&region=r");
  BOOST_REQUIRE(question.has_value());
  BOOST_TEST(question->failure_domain == "zone-a");
}

}  // namespace
}  // namespace toucanwharf::adapter
