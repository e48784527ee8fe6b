#include "control/controller.h"

#include "control/messages.h"

namespace hawthornpick::control {

namespace {

auto append(controller::messages &out, controller::messages batch) -> void
{
    out.insert(out.end(), std::make_move_iterator(batch.begin()),
               std::make_move_iterator(batch.end()));
}

} // namespace

auto controller::create(replica_options options, witness_map witnesses, storage logStorage,
                        transfer::content_exchange &exchange, base::random_source random,
                        base::time_point now) -> storage_result<std::unique_ptr<controller>>
{
    auto loaded = std::visit([](auto &backend) { return backend.load(); }, logStorage);
    if (!loaded) {
        return tl::unexpected(loaded.error());
    }
    return std::unique_ptr<controller>(new controller(std::move(options), std::move(witnesses),
                                                      std::move(logStorage), std::move(*loaded),
                                                      exchange, random, now));
}

controller::controller(replica_options options, witness_map witnesses, storage logStorage,
                       stored_state loaded, transfer::content_exchange &exchange,
                       base::random_source random, base::time_point now)
    : m_storage(std::move(logStorage)),
      m_replica(options, m_storage, std::move(loaded), exchange, random, now),
      m_driver(options.self, std::move(witnesses), m_replica, exchange)
{}

auto controller::receive(const base::node_id &from, std::string_view payload, base::time_point now)
        -> messages
{
    const auto kind = lease::takeKind(payload);
    messages out;
    if (kind == static_cast<std::uint8_t>(lease::message_kind::WitnessReport)) {
        if (const auto report = base::decodeThrift<lease::wire::witness_report>(payload)) {
            m_driver.onWitnessReport(from, *report);
        }
    } else if (kind == static_cast<std::uint8_t>(lease::message_kind::ReadNewest)) {
        if (const auto request = base::decodeThrift<lease::wire::read_newest>(payload)) {
            m_driver.onReadNewest(from, *request);
        }
    } else if (kind == static_cast<std::uint8_t>(message_kind::OperatorRequest)) {
        if (const auto request = base::decodeThrift<wire::operator_request>(payload)) {
            out = m_driver.onOperatorRequest(from, *request, now);
        }
    } else {
        m_replica.receive(from, kind, payload, now);
    }
    append(out, advance(now));
    return out;
}

auto controller::tick(base::time_point now) -> messages
{
    m_replica.tick(now);
    return advance(now);
}

auto controller::advance(base::time_point now) -> messages
{
    auto out = m_replica.flush(now);
    append(out, m_driver.advance(now));
    // The driver may have proposed entries, which the next flush syncs and sends. With a single
    // voter that flush also commits them, so the driver can take its next step.
    append(out, m_replica.flush(now));
    append(out, m_driver.advance(now));
    append(out, m_replica.flush(now));
    return out;
}

} // namespace hawthornpick::control
