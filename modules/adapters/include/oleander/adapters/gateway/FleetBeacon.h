#pragma once

#include <oleander/core/FleetView.h>
#include <oleander/core/Ids.h>
#include <oleander/core/Reason.h>
#include <oleander/decisions/request/CrashMemory.h>
#include <oleander/ports/TimerService.h>
#include <oleander/settings/Address.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// What an instance says of itself.
struct BeaconNews
{
    InstanceId instance;
    DataCentreId dataCentre;
    /// How many instances it has heard of.
    std::size_t heardOf = 0;
    /// TCP port for calls of other instances.
    std::uint16_t peerPort = 0;
    /// True when it reads the registry for others.
    bool isReader = false;
    /// Processor share, in cores.
    double strength = 0;
    /// True when it takes no new requests.
    bool isLeaving = false;
    /// The coordinators that it has elected. Only stated by seeds, and only in replies.
    std::vector<Instance> coordinators;
    /// The gossip neighbours of the receiver. Only stated by seeds, and only in replies.
    std::vector<Instance> neighbours;
    /// What it knows of requests that crash servers, the newest first.
    std::vector<CrashReport> crashes;
};

/// Tells a few seed instances over UDP that this instance is there, and hears from them how many
/// have told them. All instances use the same UDP port.
///
/// Datagrams are JSON: `{"instance": NAME, "dataCentre": NAME, "heardOf": COUNT, "peerPort":
/// PORT, "isReader": BOOL, "isReply": BOOL, "strength": CORES, "isLeaving": BOOL, "coordinators":
/// [[NAME, DATA CENTRE, ADDRESS]], "neighbours": [[NAME, DATA CENTRE, ADDRESS]], "crashes":
/// [[FINGERPRINT, SERVER, THOUSANDTHS, AGE IN MS]]}`; the last five may be missing, and a survived
/// execution has no server. One that is lost is made up by the next.
class FleetBeacon
{
public:
    /// Another instance, at this IP number, was heard of.
    using Listener = std::function<void(const BeaconNews &news, const std::string &number)>;
    /// Gives what this instance says of itself now, in a reply to `caller` or, if that is empty, to
    /// any instance.
    using Source = std::function<BeaconNews(const InstanceId &caller)>;

    /// The context must outlive the beacon.
    FleetBeacon(boost::asio::io_context &context, TimerService &timer, Source source,
                Listener listener);
    FleetBeacon(const FleetBeacon &) = delete;
    FleetBeacon &operator=(const FleetBeacon &) = delete;
    ~FleetBeacon();

    /// Begins to listen on the address, and to call the same port of each seed; port 0 lets the
    /// system choose. Returns the port.
    std::optional<std::uint16_t> start(const Address &address, const std::vector<Address> &seeds,
                                       Reason &reason);

    /// Calls the seeds now, besides the periodic calls.
    void announce();
    /// Tells the seeds, the neighbours and all instances that were heard of lately. For news that
    /// can't wait until they call. Neighbours pass them on when seeds can't be reached.
    void announceToAll();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace oleander
