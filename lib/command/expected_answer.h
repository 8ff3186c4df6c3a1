#ifndef TOUCANWHARF_LIB_COMMAND_EXPECTED_ANSWER_H_
#define TOUCANWHARF_LIB_COMMAND_EXPECTED_ANSWER_H_

#include <string>
#include <vector>

#include "toucanwharf/command/answer_session.h"
#include "toucanwharf/command/platform.h"
#include "toucanwharf/records/records.h"

/// Expected answers of the stand-in engines, to verify a system under test.
namespace toucanwharf::command {

/// Reads the current records from the platform. Errors: kUnreachable.
Result<records::Catalog> ReadCatalog(const Platform& platform);

/// Returns the tokens that stand-in engines produce for \p query under
/// \p catalog.
/// Errors: kNotFound when the pipeline or its model is missing.
Result<std::vector<std::string>> ExpectedAnswer(const records::Catalog& catalog,
                                                const AnswerQuery& query);

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_LIB_COMMAND_EXPECTED_ANSWER_H_
