#pragma once

#include "base/errorkind.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/view.h"
#include "policy/slots.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace hawthornpick::policy {

struct placement_settings
{
    base::node_id self;
    base::region_id region;
    base::failure_domain_id failureDomain;
    //! Part of the value of one request that a byte between regions or failure domains costs.
    double regionBytePrice = 2.7e-5;
    double domainBytePrice = 3.4e-6;
};

//! What a request needs of an upstream.
struct placement_request
{
    base::service_id service;
    base::route_id route;
    bool idempotent = false;
    std::uint64_t requestBytes = 0;
    std::vector<base::node_id> excluded;
    base::time_point target;
    base::time_point deadline;
    //! Time that an upstream probably takes.
    base::duration expected{};
    //! Only upstreams with a free slot are worth it.
    bool needsFreeSlot = false;
};

//! Where a request goes.
struct placed_request
{
    //! Belongs to the view.
    const membership::node_entry *node = nullptr;
    //! Chance of an answer and wait for a slot that the choice assumed.
    double health = 0.0;
    base::duration wait{};
};

//! Decision object of an entry node: where a request goes. It answers load that differs from
//! upstream to upstream while about a third of them do not answer for seconds at a time, and paths
//! that are cut for some of the nodes only.
//!
//! Each upstream is valued by the chance of an answer in time, from the load and health that its
//! node reported, their age, what this node has under way there, and the state of the path, less
//! the price of the bytes. Thread safety of all members: one thread.
class placement
{
public:
    //! Reports older than this say nothing any more.
    static constexpr base::milliseconds REPORT_LIFE{3000};
    //! Chance of an answer of an upstream about which nothing is known: instances of a service fail
    //! about 30% of the time.
    static constexpr double PRIOR_HEALTH = 0.75;
    //! A request that can't be repeated is refused rather than sent to an upstream below this
    //! health: its caller can come back after a refusal, but not after an attempt without an
    //! answer.
    static constexpr double MIN_HEALTH_ONCE = 0.32;
    //! Tries a second of one doubtful upstream, over all nodes.
    static constexpr double TRIALS_PER_SECOND = 0.6;
    //! Upstreams below this health are tried.
    static constexpr double DOUBTFUL_HEALTH = 0.55;
    //! Longest answer of a route that is used for tries.
    static constexpr double MAX_TRIAL_BYTES = 20'000.0;
    //! First time for which a path that failed is avoided; doubled for each further failure.
    static constexpr base::milliseconds FIRST_PATH_PAUSE{300};
    static constexpr base::milliseconds MAX_PATH_PAUSE{2400};

    placement(placement_settings settings, std::uint64_t seed);

    //! Chooses an upstream and counts the request as under way there.
    //! Errors: `NoUpstream`; `PeerUnreachable` if the only paths left have failed; `Overloaded` if
    //! the upstreams left probably do not answer.
    auto choose(const membership::view &view, const placement_request &request,
                base::time_point now) -> base::result<placed_request>;

    //! Chooses an upstream that is to be tried beside the chosen one, or null: one that stopped
    //! answering, or of which nothing was heard, may answer again. The nodes together try each of
    //! them about every second or two, with idempotent requests that have short answers.
    //! Precondition: `choose` was called for the request.
    auto chooseTrial(const membership::view &view, const placement_request &request,
                     std::size_t entries, base::time_point now) -> const membership::node_entry *;

    //! Reports the end of an attempt. `load` is what the executing node reported with it.
    auto onEnd(const base::node_id &node, const base::service_id &service,
               const std::optional<base::error_kind> &failure,
               const std::optional<service_load> &load, base::time_point now) -> void;

    //! Takes the load and health of an upstream that its node sent on its own.
    auto onLoad(const base::node_id &node, const base::service_id &service,
                const service_load &load, base::time_point now) -> void;

    //! Learns the length of the answers of a route.
    auto onAnswerBytes(const base::route_id &route, std::size_t bytes) -> void;

private:
    // What is known of one service on one node.
    struct place_state
    {
        service_load load;
        base::time_point reportedAt{};
        //! Requests of this node under way there, and those of them launched since the report.
        std::uint32_t underWay = 0;
        std::uint32_t sinceReport = 0;
        base::time_point refusedUntil{};
    };
    struct path_state
    {
        base::time_point pausedUntil{};
        std::uint32_t failures = 0;
    };
    // Idempotent requests of this node for a service, averaged.
    struct request_rate
    {
        double count = 0.0;
        base::time_point at{};
    };
    using place_key = std::pair<base::node_id, base::service_id>;

    auto occupy(const membership::node_entry &node, const base::service_id &service) -> void;
    auto rateOf(const base::service_id &service, base::time_point now) -> double;
    [[nodiscard]] auto doubtfulPlaces(const membership::view &view,
                                      const placement_request &request, base::time_point now) const
            -> std::vector<const membership::node_entry *>;
    // A place about which nothing is known has no trusted report.
    [[nodiscard]] auto knownState(const base::node_id &node, const base::service_id &service) const
            -> const place_state &;
    [[nodiscard]] auto valueOf(const membership::upstream_place &place, const place_state &state,
                               const placement_request &request, base::time_point now) const
            -> double;
    [[nodiscard]] auto waitAt(const place_state &state, std::uint32_t usable, double busy) const
            -> base::duration;
    [[nodiscard]] auto chanceInTime(const place_state &state, std::uint32_t slots,
                                    const placement_request &request, base::duration left,
                                    base::time_point now) const -> double;
    [[nodiscard]] auto busyAt(const place_state &state, std::uint32_t usable,
                              base::time_point now) const -> double;
    [[nodiscard]] auto usableAt(const place_state &state, std::uint32_t slots,
                                base::time_point now) const -> std::uint32_t;
    [[nodiscard]] auto healthOf(const place_state &state, base::time_point now) const -> double;
    [[nodiscard]] auto trustIn(const place_state &state, base::time_point now) const -> double;
    [[nodiscard]] auto priceOf(const membership::node_entry &node,
                               const placement_request &request) const -> double;
    [[nodiscard]] auto isPathPaused(const base::node_id &node, base::time_point now) const -> bool;

    placement_settings m_settings;
    base::random_source m_random;
    std::map<place_key, place_state> m_places;
    std::unordered_map<base::node_id, path_state> m_paths;
    std::unordered_map<base::route_id, double> m_answerBytes;
    std::unordered_map<base::service_id, request_rate> m_rates;
};

} // namespace hawthornpick::policy
