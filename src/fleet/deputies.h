#pragma once

#include "fleet/recordtable.h"

#include <map>
#include <vector>

namespace hawthornpick::fleet {

//! Returns for each region the entry nodes that act as hubs while no hub is reachable, in order of
//! preference. Equal directories give equal results on all nodes.
//! Thread safety: pure.
auto deputiesByRegion(const record_table &records)
        -> std::map<base::region_id, std::vector<base::node_id>>;

} // namespace hawthornpick::fleet
