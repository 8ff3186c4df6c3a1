#ifndef TOUCANWHARF_BENCH_DECISIONS_REPORT_H_
#define TOUCANWHARF_BENCH_DECISIONS_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "experiments.h"

namespace toucanwharf::bench {

/// Prints \p rows as a table to standard output.
void PrintTable(const std::vector<Row>& rows);

/// Returns \p rows as a JSON document that names the seed.
std::string ToJson(const std::vector<Row>& rows, std::uint64_t seed);

/// Writes a plot of goodput against offered load of the rows with \p routers
/// routers to \p path. Returns whether the file could be written.
bool PlotGoodput(const std::vector<Row>& rows, std::uint32_t routers,
                 const std::string& path);

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_DECISIONS_REPORT_H_
