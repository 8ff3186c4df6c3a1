#ifndef TOUCANWHARF_TIMELINE_CODEC_H_
#define TOUCANWHARF_TIMELINE_CODEC_H_

#include <string>
#include <string_view>
#include <system_error>

#include "toucanwharf/support/result.h"
#include "toucanwharf/timeline/buffer.h"

namespace toucanwharf::timeline {

/// Why a page could not be read.
enum class TimelineError { kMalformedPage = 1 };

/// Returns the category of TimelineError. Thread safety: safe.
const std::error_category& TimelineCategory();

/// Returns the code of \p error; found by argument-dependent lookup.
std::error_code make_error_code(TimelineError error);

/// Returns \p page as the JSON of `GET /admin/timeline`. Bytes that are not
/// UTF-8 are replaced. Thread safety: safe.
std::string ToJson(const Page& page);

/// Parses the output of ToJson. \p text may be any bytes; malformed events and
/// those of unknown kinds are skipped. Errors: kMalformedPage.
/// Thread safety: safe.
Result<Page> ParsePage(std::string_view text);

}  // namespace toucanwharf::timeline

template <>
struct std::is_error_code_enum<toucanwharf::timeline::TimelineError>
    : std::true_type {};

#endif  // TOUCANWHARF_TIMELINE_CODEC_H_
