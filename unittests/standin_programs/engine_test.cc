#include "standins/engine/engine.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "standins/common/http_client.h"
#include "standins/common/http_server.h"
#include "standins/token_model.h"

namespace toucanwharf::standins {
namespace {

constexpr int kTimeoutMs = 20000;
constexpr std::uint64_t kSeed = 7;

EngineSettings Holding(std::uint32_t begin, std::uint32_t end) {
  EngineSettings settings;
  settings.id = "e" + std::to_string(begin);
  settings.load = Load{"m", "v1", {"a"}, LayerRange{begin, end}};
  settings.layer_micros = 10;
  settings.load_millis = 0;
  return settings;
}

struct RunningEngine {
  explicit RunningEngine(const EngineSettings& settings) : engine(settings) {}

  Engine engine;
  HttpServer server{
      0, [this](const HttpRequest& request) { return engine.Handle(request); }};
  HttpClient client;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server.Port());
  }
  HttpAnswer Post(const std::string& path, const nlohmann::json& body) {
    return this->client.Call("POST", "http://" + this->Address() + path,
                             body.dump(), kTimeoutMs);
  }
};

struct TwoStages {
  RunningEngine first{Holding(0, 4)};
  RunningEngine second{Holding(4, 8)};

  nlohmann::json Request(const std::vector<std::string>& tokens) const {
    return {{"request", "r1"},
            {"attempt", 0},
            {"model", "m"},
            {"version", "v1"},
            {"adapter", "a"},
            {"seed", kSeed},
            {"prompt", "release note for lot 7"},
            {"tokens", tokens},
            {"first_index", tokens.size()},
            {"max_tokens", 10},
            {"stages",
             {{{"instance", "e0"},
               {"address", this->first.Address()},
               {"begin", 0},
               {"end", 4}},
              {{"instance", "e4"},
               {"address", this->second.Address()},
               {"begin", 4},
               {"end", 8}}}}};
  }

  std::vector<nlohmann::json> Generate(const nlohmann::json& request) {
    std::vector<nlohmann::json> events;
    std::istringstream body(this->first.Post("/v1/generate", request).body);
    for (std::string line; std::getline(body, line);) {
      if (line.starts_with("data: ")) {
        events.push_back(nlohmann::json::parse(line.substr(6)));
      }
    }
    return events;
  }
};

std::vector<std::string> TokensOf(const std::vector<nlohmann::json>& events) {
  std::vector<std::string> tokens;
  for (const nlohmann::json& event : events) {
    tokens.push_back(event.at("token").get<std::string>());
  }
  return tokens;
}

const Weights kWeights{"m", "v1", "a"};

BOOST_FIXTURE_TEST_CASE(StagesTogetherGiveTheExpectedAnswer, TwoStages) {
  const auto right =
      ExpectedTokens(kWeights, 8, kSeed, "release note for lot 7", 10);
  const auto events = this->Generate(this->Request({}));
  BOOST_TEST(TokensOf(events) == right);
  BOOST_TEST(events.back().at("last") == true);
  BOOST_TEST(events.front().at("trace") ==
             nlohmann::json::parse("[[0,4],[4,8]]"));
  const std::vector<std::string> kept(right.begin(), right.begin() + 4);
  const auto rest = this->Generate(this->Request(kept));
  BOOST_TEST(TokensOf(rest) ==
             std::vector<std::string>(right.begin() + 4, right.end()));
  BOOST_TEST(rest.front().at("index") == 4);
}

BOOST_FIXTURE_TEST_CASE(WrongPlansAreRefusedBeforeAnythingRan, TwoStages) {
  nlohmann::json gap = this->Request({});
  gap["stages"][1]["begin"] = 5;
  nlohmann::json version = this->Request({});
  version["version"] = "v2";
  for (const nlohmann::json& request : {gap, version}) {
    const HttpAnswer answer = this->first.Post("/v1/generate", request);
    BOOST_TEST(answer.status == 409);
    BOOST_TEST(answer.Json().at("ran") == "no");
  }
}

BOOST_FIXTURE_TEST_CASE(AStageWithOtherLayersEndsTheStreamWithAnError,
                        TwoStages) {
  const nlohmann::json order = {{"fencing_number", 5},
                                {"desired",
                                 {{"model", "m"},
                                  {"version", "v2"},
                                  {"adapters", {"a"}},
                                  {"layers", {{"begin", 4}, {"end", 8}}}}}};
  BOOST_TEST(this->second.Post("/v1/orders", order).Json().at("version") ==
             "v2");
  const auto events = this->Generate(this->Request({}));
  BOOST_TEST(events.size() == 1u);
  BOOST_TEST(events.front().at("stage") == 1);
  nlohmann::json old = order;
  old["fencing_number"] = 4;
  BOOST_TEST(this->second.Post("/v1/orders", old).status == 412);
}

BOOST_AUTO_TEST_CASE(KvMemoryKeepsWhatRunsAndDropsTheOldest) {
  KvCache cache(100);
  BOOST_TEST(cache.Reserve("a", 60));
  BOOST_TEST(!cache.Reserve("b", 50));
  cache.Store("c", 30);
  cache.Store("d", 30);
  BOOST_TEST(cache.Held("c") == 0u);
  BOOST_TEST(cache.Held("d") == 30u);
  cache.Release("a");
  BOOST_TEST(cache.Free() == 100u);
}

}  // namespace
}  // namespace toucanwharf::standins
