#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "toucanwharf/daemon/directory.h"
#include "toucanwharf/daemon/engine_protocol.h"
#include "toucanwharf/daemon/openai.h"

namespace toucanwharf::daemon {
namespace {

using Json = nlohmann::json;

/// Generates any small JSON value: what a faulty or hostile peer may send in
/// place of what the protocol requires.
rc::Gen<Json> AnyJson(int depth) {
  const auto leaf = rc::gen::oneOf(
      rc::gen::construct<Json>(rc::gen::arbitrary<bool>()),
      rc::gen::construct<Json>(rc::gen::arbitrary<std::int64_t>()),
      rc::gen::construct<Json>(rc::gen::arbitrary<double>()),
      rc::gen::construct<Json>(rc::gen::element<std::string>(
          "", "live", "no", "user", "0", "\xC3\xA9")),
      rc::gen::just(Json(nullptr)));
  if (depth == 0) return leaf;
  return rc::gen::oneOf(
      leaf, rc::gen::construct<Json>(rc::gen::container<std::vector<Json>>(
                rc::gen::resize(4, AnyJson(depth - 1)))));
}

/// Generates an object with some of \p names and any values.
rc::Gen<std::string> ObjectWith(std::vector<std::string> names) {
  return rc::gen::map(
      rc::gen::container<std::vector<std::pair<std::string, Json>>>(
          rc::gen::pair(rc::gen::elementOf(std::move(names)), AnyJson(3))),
      [](const std::vector<std::pair<std::string, Json>>& pairs) {
        Json object = Json::object();
        for (const auto& [name, value] : pairs) object[name] = value;
        return object.dump();
      });
}

/// May change one byte, so that text that is almost JSON is covered too.
std::string Damage(std::string text) {
  if (text.empty() || !*rc::gen::arbitrary<bool>()) return text;
  const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
  text[position] = *rc::gen::arbitrary<char>();
  return text;
}

RC_BOOST_PROP(AnyCompletionIsReadOrRefused, ()) {
  const auto body = Damage(*ObjectWith(
      {"model", "messages", "prompt", "max_tokens", "stream", "seed"}));
  for (const auto shape : {CompletionShape::kChat, CompletionShape::kText}) {
    const auto parsed = ParseCompletion(shape, body);
    if (parsed) {
      RC_ASSERT(parsed.value().max_tokens > 0);
      continue;
    }
    RC_ASSERT(parsed.error().status == 400);
    RC_ASSERT(parsed.error().ran == pipeline::Ran::kNo);
    RC_ASSERT(!Json::parse(BodyOf(parsed.error())).empty());
  }
}

RC_BOOST_PROP(AnyEngineEventIsATokenOrAFault, ()) {
  const auto data = Damage(*ObjectWith(
      {"request", "attempt", "index", "token", "trace", "last", "error"}));
  const pipeline::Event event = ParseEngineEvent(3, data);
  const auto* failure = std::get_if<pipeline::StreamFailed>(&event);
  if (failure != nullptr) {
    RC_ASSERT(failure->attempt == 3u);
    RC_ASSERT(failure->ran == pipeline::Ran::kUnknown);
    return;
  }
  RC_ASSERT(std::holds_alternative<pipeline::TokenArrived>(event));
}

RC_BOOST_PROP(AnyListOfInstancesIsRead, ()) {
  const auto line = *ObjectWith(
      {"id", "address", "role", "service", "failure_domain", "state"});
  const auto body = Damage("{\"instances\":[" + line + "]}");
  for (const Instance& instance : ParseInstances(body)) {
    RC_ASSERT(!instance.id.empty());
    RC_ASSERT(!instance.address.empty());
  }
}

RC_BOOST_PROP(AnyEngineStatusIsReadOrLeftOut, ()) {
  const auto body = Damage(*ObjectWith(
      {"model", "version", "adapters", "layers", "state", "layer_micros"}));
  pipeline::EndpointView view;
  if (ParseEngineStatus(body, view)) {
    RC_ASSERT(view.layers.begin < view.layers.end);
  }
  ParseEngineLoad(body, view);
}

BOOST_AUTO_TEST_CASE(OpenAiChatRequestIsReadUnchanged) {
  const auto parsed = ParseCompletion(
      CompletionShape::kChat,
      R"({"model":"qa","messages":[{"role":"system","content":"Be brief."},
          {"role":"user","content":[{"type":"text","text":"Lot 7?"}]}],
          "max_completion_tokens":9,"stream":true,"temperature":0.2,
          "user":"x","n":1})");
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed.value().prompt == "system: Be brief.\nuser: Lot 7?\n");
  BOOST_TEST(parsed.value().max_tokens == 9u);
  BOOST_TEST(parsed.value().stream);
}

BOOST_AUTO_TEST_CASE(DeepJsonIsRefusedBeforeItIsBuilt) {
  const std::string deep = std::string(200000, '[');
  const auto parsed = ParseCompletion(CompletionShape::kChat, deep);
  BOOST_TEST(!parsed.has_value());
}

// A lost or altered trace would let through a token for which a layer ran twice
// (I1), so the engine's event must be read exactly.
BOOST_AUTO_TEST_CASE(TraceIsReadInOrder) {
  const pipeline::Event event =
      ParseEngineEvent(0, R"({"request":"r","attempt":0,"index":4,"token":" a",
             "trace":[[0,4],[4,4],[2,6]],"last":true})");
  const auto& token = std::get<pipeline::TokenArrived>(event);
  const std::vector<pipeline::LayerRange> expected = {{0, 4}, {4, 4}, {2, 6}};
  BOOST_TEST((token.trace == expected));
  BOOST_TEST(token.last);
}

}  // namespace
}  // namespace toucanwharf::daemon
