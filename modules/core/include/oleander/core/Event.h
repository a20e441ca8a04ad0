#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace oleander {

/// Numbered log events. docs/events.md documents them, and a test compares it with this list.
/// Numbers are never reused.
enum class EventId : std::uint16_t {
    DaemonStarted = 100,
    DaemonReady = 101,
    DaemonStopping = 102,
    DaemonStopped = 103,
    LateTimer = 110,
    BadSettings = 120,
    SettingsReloaded = 121,
    LinesDropped = 130,
    ConfigurationAccepted = 200,
    ConfigurationRefused = 201,
    ConfigurationOld = 202,
    InstanceListChanged = 210,
    PartitionMapChanged = 211,
    CoordinatorsChanged = 212,
    CoordinatorFailed = 213,
    PlatformUnreachable = 220,
    PlatformReachable = 221,
    RegistrationUnreadable = 222,
    ServerRegistered = 223,
    ServerGone = 224,
    RegistrySourceChanged = 225,
    RegistryReaderFailed = 226,
    RegistryAnswerTooLarge = 227,
    RegistryRestored = 228,
    EvacuationStarted = 229,
    EvacuationEnded = 230,
    RegistryListed = 231,
    QueryRefused = 300,
    QueryPartial = 301,
    QueryFailed = 302,
    QueryAnswered = 303,
    ShardMissing = 304,
    CallerLeft = 305,
    ServerConnectionLost = 400,
    ServerDraining = 401,
    ServerEjected = 402,
    ServerReadmitted = 403,
    ServerSilent = 404,
    ServerWrongSnapshot = 405,
    ServerRateLimit = 406,
    ServerCold = 407,
    ServerWarm = 408,
    ServerEndChecked = 409,
    CrashSuspicion = 410,
    CrashRefusal = 411,
    CrashSuspicionCleared = 412,
    PeerOpened = 500,
    PeerLost = 501,
    PeerRefused = 502,
    CallerProtocolError = 600,
    MemoryShortage = 601,
};

enum class EventSeverity { Info, Warning, Error };

struct EventInfo
{
    EventId id;
    EventSeverity severity;
    std::string_view name;
    std::string_view meaning;
};

/// All events, in ascending order of number.
std::span<const EventInfo> allEvents();

/// The severity, name and meaning of an event.
const EventInfo &eventInfo(EventId id);

} // namespace oleander
