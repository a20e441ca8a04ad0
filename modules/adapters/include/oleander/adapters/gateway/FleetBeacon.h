#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Reason.h>
#include <oleander/ports/TimerService.h>
#include <oleander/settings/Address.h>

#include <functional>
#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// Tells a few seed instances over UDP that this instance is there, and hears from them how many
/// have told them. All instances use the same port.
///
/// Datagrams are JSON: `{"instance": NAME, "heardOf": COUNT, "isReply": BOOL}`. One that is lost is
/// made up by the next.
class FleetBeacon
{
public:
    /// Another instance was heard of; it has heard of `count`.
    using Listener = std::function<void(const InstanceId &instance, std::size_t count)>;
    using HeardOf = std::function<std::size_t()>;

    /// The context must outlive the beacon.
    FleetBeacon(boost::asio::io_context &context, TimerService &timer, InstanceId self,
                Listener listener, HeardOf heardOf);
    FleetBeacon(const FleetBeacon &) = delete;
    FleetBeacon &operator=(const FleetBeacon &) = delete;
    ~FleetBeacon();

    /// Begins to listen on the address, and to call the same port of each seed.
    bool start(const Address &address, const std::vector<Address> &seeds, Reason &reason);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace oleander
