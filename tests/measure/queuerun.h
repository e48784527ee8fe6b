#pragma once

#include "membership/view.h"
#include "policy/fairqueue.h"
#include "policy/retrybudget.h"
#include "policy/selector.h"
#include "tests/measure/detectionrun.h"

#include <deque>
#include <queue>

namespace hawthornpick::measure {

//! Outcomes of requests by organisation.
struct queue_result
{
    std::array<std::vector<double>, ORGANISATION_SHARES.size()> latencies;
    std::array<double, ORGANISATION_SHARES.size()> offered{};
    double goodSeconds = 0.0;
    double capacitySeconds = 0.0;

    static constexpr std::size_t FLOODING = 1;

    auto add(const queue_result &other) -> void
    {
        for (std::size_t i = 0; i < offered.size(); ++i) {
            latencies[i].insert(latencies[i].end(), other.latencies[i].begin(),
                                other.latencies[i].end());
            offered[i] += other.offered[i];
        }
        goodSeconds += other.goodSeconds;
        capacitySeconds += other.capacitySeconds;
    }

    [[nodiscard]] auto worstSuccess(bool withoutFlooding) const -> double
    {
        double worst = 1.0;
        for (std::size_t i = 0; i < offered.size(); ++i) {
            if (offered[i] > 0.0 && !(withoutFlooding && i == FLOODING)) {
                worst = std::min(worst, static_cast<double>(latencies[i].size()) / offered[i]);
            }
        }
        return worst;
    }

    [[nodiscard]] auto worstToMedianP99() const -> double
    {
        std::vector<double> values;
        for (std::size_t i = 0; i < offered.size(); ++i) {
            if (i != FLOODING && !latencies[i].empty()) {
                values.push_back(p99(latencies[i]));
            }
        }
        std::sort(values.begin(), values.end());
        return values.empty() ? 0.0 : values.back() / values.at(values.size() / 2);
    }

    [[nodiscard]] auto goodput() const -> double { return goodSeconds / capacitySeconds; }

    [[nodiscard]] auto p99Milliseconds() const -> double
    {
        std::vector<double> all;
        for (const auto &list : latencies) {
            all.insert(all.end(), list.begin(), list.end());
        }
        return p99(all) * 1000.0;
    }

    static auto p99(std::vector<double> values) -> double
    {
        if (values.empty()) {
            return 0.0;
        }
        std::sort(values.begin(), values.end());
        return values.at(values.size() * 99 / 100);
    }
};

//! Selection and queues of one service in virtual time. With `plain`, round robin and bounded FIFO
//! queues of the same size that look at no deadline.
class queue_run
{
public:
    //! `load` is the offered load relative to capacity; organisation `FLOODING` sends `flood` times
    //! its part of it.
    queue_run(std::uint64_t seed, const service_size &size, bool plain, double load, double flood)
        : m_size(size), m_plain(plain), m_flood(flood), m_random(seed * 104729)
    {
        m_rate = load * static_cast<double>(size.upstreams) * size.slots / MEAN_SECONDS;
        std::vector<membership::node_entry> nodes;
        for (std::size_t i = 0; i < size.upstreams; ++i) {
            membership::node_entry node;
            node.id = base::node_id("n" + std::to_string(i));
            node.region = base::region_id("r");
            node.upstreams = {{base::upstream_id(node.id.str() + "/u"), SERVICE, size.slots,
                               membership::upstream_state::Ready, false, 1, 1}};
            nodes.push_back(node);
            m_queues.push_back(std::make_unique<policy::fair_queue>(QUEUE_PER_SLOT));
            m_queues.back()->setUpstream(node.upstreams.front().id, {size.slots, size.slots},
                                         m_now);
            policy::selector_settings settings;
            settings.self = node.id;
            settings.region = node.region;
            m_selectors.push_back(std::make_unique<policy::selector>(settings, seed * 1000 + i));
            m_indexOf[node.id] = i;
            m_next.push_back(m_random.below(size.upstreams));
        }
        m_view = std::make_unique<membership::view>(1, nodes);
        m_fifo.resize(size.upstreams);
        m_busy.resize(size.upstreams);
    }

    auto run(double seconds) -> queue_result
    {
        const auto begin = m_now;
        const auto end = m_now + base::fromSeconds(seconds);
        m_end = end;
        schedule(m_now, [this, end] { arrive(end); });
        while (!m_events.empty()) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            if (m_now - m_lastExpire >= std::chrono::milliseconds(10)) {
                m_lastExpire = m_now;
                for (const auto &queue : m_queues) {
                    queue->expire(m_now);
                }
            }
            event.action();
        }
        m_result.capacitySeconds =
                base::toSeconds(end - begin) * static_cast<double>(m_size.upstreams) * m_size.slots;
        return m_result;
    }

private:
    static constexpr double DEADLINE_SECONDS = 1.0;
    static constexpr double MEAN_SECONDS = 0.0567;
    static constexpr std::uint32_t QUEUE_PER_SLOT = 4;
    static constexpr std::size_t MOST_ATTEMPTS = 3;
    static constexpr base::duration HOP = std::chrono::microseconds(500);
    inline static const base::service_id SERVICE{"service"};

    struct request
    {
        base::attempt_id attempt;
        std::size_t organisation;
        base::time_point arrived;
        double serviceSeconds;
        std::size_t entry;
        std::vector<base::node_id> tried;
    };
    using request_pointer = std::shared_ptr<request>;
    struct event
    {
        base::time_point at;
        std::uint64_t order;
        std::function<void()> action;

        auto operator<(const event &other) const -> bool
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    auto schedule(base::time_point at, std::function<void()> action) -> void
    {
        m_events.push({at, m_order++, std::move(action)});
    }

    auto arrive(base::time_point end) -> void
    {
        if (m_now >= end) {
            return;
        }
        const auto organisation = drawOrganisation(m_random);
        const int copies = organisation == queue_result::FLOODING ? static_cast<int>(m_flood) : 1;
        for (int i = 0; i < copies; ++i) {
            const double normal = std::sqrt(-2.0 * std::log(1.0 - m_random.unit()))
                                  * std::cos(2.0 * 3.14159265358979 * m_random.unit());
            auto item = std::make_shared<request>();
            item->attempt = m_random.attemptId();
            item->organisation = organisation;
            item->arrived = m_now;
            item->serviceSeconds = 0.05 * std::exp(0.5 * normal);
            item->entry = m_random.below(m_size.upstreams);
            m_result.offered[organisation] += 1.0;
            m_budget.onFirstAttempt(nameOf(organisation));
            dispatch(item);
        }
        schedule(m_now + base::fromSeconds(-std::log(1.0 - m_random.unit()) / m_rate),
                 [this, end] { arrive(end); });
    }

    auto dispatch(const request_pointer &item) -> void
    {
        std::size_t target = m_next.at(item->entry)++ % m_size.upstreams;
        if (!m_plain) {
            policy::selection_request wanted;
            wanted.service = SERVICE;
            wanted.organisation = nameOf(item->organisation);
            wanted.excludedNodes = item->tried;
            const auto chosen = m_selectors[item->entry]->choose(*m_view, wanted, m_now);
            if (!chosen) {
                return;
            }
            target = m_indexOf.at(chosen->node->id);
        }
        schedule(m_now + HOP, [this, item, target] { enter(item, target); });
    }

    auto enter(const request_pointer &item, std::size_t target) -> void
    {
        if (m_plain) {
            enterPlain(item, target);
            return;
        }
        const policy::slot_request wanted{item->attempt, nameOf(item->organisation), 1,
                                          item->arrived + base::fromSeconds(DEADLINE_SECONDS),
                                          true};
        const auto resume = [this, item, target](const base::result<policy::slot_grant> &value) {
            value ? start(item, target, *value) : refuse(item, target, value.error().kind);
        };
        const auto answer = m_queues[target]->acquire(wanted, m_now, resume);
        if (!answer) {
            refuse(item, target, answer.error().kind);
        } else if (*answer) {
            start(item, target, **answer);
        }
    }

    auto start(const request_pointer &item, std::size_t target, const policy::slot_grant &grant)
            -> void
    {
        schedule(m_now + base::fromSeconds(item->serviceSeconds), [this, item, target, grant] {
            m_queues[target]->release(grant, true, m_now);
            m_selectors[item->entry]->onAnswer(SERVICE, nodeOf(target), m_queues[target]->load(),
                                               m_now);
            complete(item);
        });
    }

    auto refuse(const request_pointer &item, std::size_t target, base::error_kind kind) -> void
    {
        m_selectors[item->entry]->onRefusal(SERVICE, nodeOf(target), nameOf(item->organisation),
                                            kind, m_now);
        item->tried.push_back(nodeOf(target));
        if (kind == base::error_kind::QueueFull && item->tried.size() < MOST_ATTEMPTS
            && m_budget.tryRetry(nameOf(item->organisation))) {
            schedule(m_now + HOP, [this, item] { dispatch(item); });
        }
    }

    auto enterPlain(const request_pointer &item, std::size_t target) -> void
    {
        if (m_busy[target] < m_size.slots) {
            ++m_busy[target];
            startPlain(item, target);
        } else if (m_fifo[target].size() < std::size_t{m_size.slots} * QUEUE_PER_SLOT) {
            m_fifo[target].push_back(item);
        } else {
            item->tried.push_back(nodeOf(target));
            if (item->tried.size() < MOST_ATTEMPTS) {
                schedule(m_now + HOP, [this, item] { dispatch(item); });
            }
        }
    }

    auto startPlain(const request_pointer &item, std::size_t target) -> void
    {
        schedule(m_now + base::fromSeconds(item->serviceSeconds), [this, item, target] {
            complete(item);
            if (m_fifo[target].empty()) {
                --m_busy[target];
                return;
            }
            const auto next = m_fifo[target].front();
            m_fifo[target].pop_front();
            startPlain(next, target);
        });
    }

    auto complete(const request_pointer &item) -> void
    {
        const double latency = base::toSeconds(m_now - item->arrived);
        if (latency <= DEADLINE_SECONDS) {
            m_result.latencies[item->organisation].push_back(latency);
            m_result.goodSeconds += m_now <= m_end ? item->serviceSeconds : 0.0;
        }
    }

    static auto nameOf(std::size_t organisation) -> base::organisation_id
    {
        return base::organisation_id(std::to_string(organisation));
    }

    static auto nodeOf(std::size_t index) -> base::node_id
    {
        return base::node_id("n" + std::to_string(index));
    }

    service_size m_size;
    bool m_plain;
    double m_flood;
    double m_rate;
    base::random_source m_random;
    base::time_point m_now{std::chrono::hours(1)};
    base::time_point m_lastExpire{};
    base::time_point m_end{};
    std::uint64_t m_order = 0;
    std::vector<std::size_t> m_next;
    std::priority_queue<event> m_events;
    std::unique_ptr<membership::view> m_view;
    std::map<base::node_id, std::size_t> m_indexOf;
    std::vector<std::unique_ptr<policy::fair_queue>> m_queues;
    std::vector<std::unique_ptr<policy::selector>> m_selectors;
    std::vector<std::deque<request_pointer>> m_fifo;
    std::vector<std::uint32_t> m_busy;
    policy::retry_budget m_budget{20};
    queue_result m_result;
};

} // namespace hawthornpick::measure
