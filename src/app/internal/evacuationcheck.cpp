#include "app/internal/evacuationcheck.h"

#include <algorithm>
#include <set>

namespace hawthornpick::app {

namespace {

auto isReady(const membership::node_entry &node, const membership::upstream_entry &upstream) -> bool
{
    const bool isNodeUp = node.state == membership::node_state::Alive
                          || node.state == membership::node_state::Suspect;
    return isNodeUp && upstream.state == membership::upstream_state::Ready && !upstream.isLeaving;
}

} // namespace

auto evacuation_check::isKnown(const base::failure_domain_id &failureDomain) const -> bool
{
    const auto &nodes = view->nodes();
    return failureDomains.contains(failureDomain)
           || std::any_of(nodes.begin(), nodes.end(), [&](const membership::node_entry &node) {
                  return node.failureDomain == failureDomain;
              });
}

auto evacuation_check::refusalOf(const base::failure_domain_id &failureDomain, bool starts) const
        -> std::optional<evacuation_answer>
{
    if (inForce.contains(failureDomain)) {
        return std::nullopt;
    }
    if (failureDomain.empty() || !isKnown(failureDomain)) {
        return evacuation_answer{evacuation_outcome::UnknownDomain,
                                 "no node and no setting names the failure domain `"
                                         + failureDomain.str() + "`; check its name"};
    }
    if (!starts) {
        return std::nullopt;
    }
    std::set<base::service_id> emptied;
    std::set<base::service_id> kept;
    for (const auto &node : view->nodes()) {
        for (const auto &upstream : node.upstreams) {
            if (!isReady(node, upstream) || inForce.contains(node.failureDomain)) {
                continue;
            }
            (node.failureDomain == failureDomain ? emptied : kept).insert(upstream.service);
        }
    }
    for (const auto &service : emptied) {
        if (!kept.contains(service)) {
            return evacuation_answer{
                    evacuation_outcome::LastDomain,
                    "the service `" + service.str() + "` has no ready upstream outside `"
                            + failureDomain.str()
                            + "` and the evacuated failure domains; start one elsewhere or end "
                              "another evacuation first"};
        }
    }
    return std::nullopt;
}

} // namespace hawthornpick::app
