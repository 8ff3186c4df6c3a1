#include "expected_answer.h"

#include <algorithm>

#include "standins/token_model.h"
#include "toucanwharf/command/errors.h"
#include "toucanwharf/records/parse.h"

namespace toucanwharf::command {

Result<records::Catalog> ReadCatalog(const Platform& platform) {
  BOOST_OUTCOME_TRY(listing, platform.List("records"));
  std::vector<records::Record> parsed_records;
  for (const store::Object& object : listing.objects) {
    const auto parsed = records::ParseRecord(object.value);
    if (parsed) parsed_records.push_back(parsed.assume_value().record);
  }
  return records::BuildCatalog(listing.revision.number, parsed_records);
}

Result<std::vector<std::string>> ExpectedAnswer(const records::Catalog& catalog,
                                                const AnswerQuery& query) {
  const auto pipeline = catalog.pipelines.find(query.model);
  if (pipeline == catalog.pipelines.end()) return CommandError::kNotFound;
  const records::Pipeline& served = pipeline->second;
  const auto model = catalog.models.find(served.model);
  if (model == catalog.models.end()) return CommandError::kNotFound;
  // The router forwards chat messages as lines of one prompt.
  const std::string prompt =
      query.chat ? "user: " + query.prompt + "\n" : query.prompt;
  const std::uint32_t count = std::min(query.max_tokens, served.max_tokens);
  return standins::ExpectedTokens(served.model, served.version, served.adapter,
                                  model->second.layers, query.seed, prompt,
                                  count);
}

}  // namespace toucanwharf::command
