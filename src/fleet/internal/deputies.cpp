#include "fleet/deputies.h"

#include "base/digest.h"

#include <algorithm>

namespace hawthornpick::fleet {

namespace {

//! Enough that one is up when hosts fail, and few enough for each deputy to synchronise with all
//! others.
constexpr std::size_t DEPUTIES_PER_REGION = 3;

} // namespace

auto deputiesByRegion(const record_table &records)
        -> std::map<base::region_id, std::vector<base::node_id>>
{
    std::map<base::region_id, std::vector<base::node_id>> regions;
    records.forEach([&regions](const node_record &record) {
        if (record.isAliveEntryNode()) {
            regions[record.entry.region].push_back(record.entry.id);
        }
    });
    for (auto &[region, nodes] : regions) {
        const auto weight = [&region = region](const base::node_id &node) {
            return base::rendezvousWeight(region.str(), node.str());
        };
        std::sort(nodes.begin(), nodes.end(), [&weight](const auto &left, const auto &right) {
            return weight(left) < weight(right);
        });
        nodes.resize(std::min(nodes.size(), DEPUTIES_PER_REGION));
    }
    return regions;
}

} // namespace hawthornpick::fleet
