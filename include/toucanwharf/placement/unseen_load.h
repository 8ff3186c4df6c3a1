#ifndef TOUCANWHARF_PLACEMENT_UNSEEN_LOAD_H_
#define TOUCANWHARF_PLACEMENT_UNSEEN_LOAD_H_

#include <vector>

#include "toucanwharf/placement/engine_model.h"
#include "toucanwharf/placement/path_finder.h"

namespace toucanwharf::placement {

/// Adds \p answers of mean length, of which is not known where they run, to the
/// loads of \p engines: spread evenly over the covers that these make up.
///
/// Load: all instances of a fleet restart, and a thousand callers come back
/// within half a second, before any instance hears what the others sent. Each
/// sees the same free capacity; together they would claim it several times, and
/// engines refuse half of the requests, for which no retry is left.
/// Thread safety: safe.
void AddUnseenLoad(const EngineModel& model, double answers,
                   std::vector<Engine>& engines);

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_PLACEMENT_UNSEEN_LOAD_H_
