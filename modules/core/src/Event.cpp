#include <oleander/core/Event.h>

#include <algorithm>

namespace oleander {

namespace {

using enum EventSeverity;

constexpr std::array eventTable{
    EventInfo{EventId::DaemonStarted, Info, "DaemonStarted", "the process started"},
    EventInfo{EventId::DaemonReady, Info, "DaemonReady",
              "the configuration is confirmed; queries are accepted"},
    EventInfo{EventId::DaemonStopping, Info, "DaemonStopping", "a graceful shutdown started"},
    EventInfo{EventId::DaemonStopped, Info, "DaemonStopped",
              "the last query ended; the process exits"},
    EventInfo{EventId::LateTimer, Warning, "LateTimer", "the process was paused or overloaded"},
    EventInfo{EventId::BadSettings, Error, "BadSettings",
              "the settings file is missing or invalid"},
    EventInfo{EventId::SettingsReloaded, Info, "SettingsReloaded",
              "the settings file was read again"},
    EventInfo{EventId::LinesDropped, Warning, "LinesDropped",
              "log lines were dropped to limit the log volume"},
    EventInfo{EventId::ConfigurationAccepted, Info, "ConfigurationAccepted",
              "a newer configuration is in force"},
    EventInfo{EventId::ConfigurationRefused, Error, "ConfigurationRefused",
              "a published configuration is invalid; the current one stays in force"},
    EventInfo{EventId::ConfigurationOld, Warning, "ConfigurationOld",
              "a version lower than the current one was received and dropped"},
    EventInfo{EventId::InstanceListChanged, Info, "InstanceListChanged",
              "a newer list of instances is in force"},
    EventInfo{EventId::PartitionMapChanged, Info, "PartitionMapChanged",
              "a newer partition map is in force"},
    EventInfo{EventId::CoordinatorsChanged, Info, "CoordinatorsChanged",
              "other instances coordinate gathered requests, or this one does now"},
    EventInfo{EventId::CoordinatorFailed, Warning, "CoordinatorFailed",
              "a coordinator failed a call or a probe; it is not used for a while"},
    EventInfo{EventId::PlatformUnreachable, Warning, "PlatformUnreachable",
              "the configuration service does not answer; the current values stay in force"},
    EventInfo{EventId::PlatformReachable, Info, "PlatformReachable",
              "the configuration service answers again"},
    EventInfo{EventId::RegistrationUnreadable, Warning, "RegistrationUnreadable",
              "a registry entry does not describe a usable server"},
    EventInfo{EventId::ServerRegistered, Info, "ServerRegistered",
              "a backend server is registered, or its registration changed"},
    EventInfo{EventId::ServerGone, Info, "ServerGone", "a backend server is no longer registered"},
    EventInfo{EventId::RegistrySourceChanged, Info, "RegistrySourceChanged",
              "the source of the registry's content changed: an instance or the registry"},
    EventInfo{EventId::RegistryReaderFailed, Warning, "RegistryReaderFailed",
              "an instance that reads the registry for this one failed; it is not asked for now"},
    EventInfo{
        EventId::RegistryAnswerTooLarge, Warning, "RegistryAnswerTooLarge",
        "the changes of the registry are too large for one answer; its content is read again"},
    EventInfo{EventId::RegistryRestored, Warning, "RegistryRestored",
              "the registry has come back from an older copy of its content"},
    EventInfo{EventId::EvacuationStarted, Warning, "EvacuationStarted",
              "the servers of a data centre get no further requests"},
    EventInfo{EventId::EvacuationEnded, Info, "EvacuationEnded",
              "the servers of a data centre get requests again"},
    EventInfo{EventId::RegistryListed, Info, "RegistryListed",
              "the whole content of the registry was read"},
    EventInfo{EventId::QueryRefused, Info, "QueryRefused", "a query was refused and not executed"},
    EventInfo{EventId::QueryPartial, Info, "QueryPartial",
              "an answer does not cover all requested shards"},
    EventInfo{EventId::QueryFailed, Warning, "QueryFailed",
              "a query ended, and it is not known whether it was executed"},
    EventInfo{EventId::QueryAnswered, Info, "QueryAnswered", "a query was answered"},
    EventInfo{EventId::ShardMissing, Info, "ShardMissing", "an answer does not include a shard"},
    EventInfo{EventId::CallerLeft, Info, "CallerLeft",
              "the caller closed its connection before the answer was sent"},
    EventInfo{EventId::ServerConnectionLost, Warning, "ServerConnectionLost",
              "a connection to a backend server was lost with a request in flight"},
    EventInfo{EventId::ServerDraining, Info, "ServerDraining",
              "a backend server is draining and receives no new requests"},
    EventInfo{EventId::ServerEjected, Warning, "ServerEjected",
              "a backend server is temporarily excluded from routing"},
    EventInfo{EventId::ServerReadmitted, Info, "ServerReadmitted",
              "a backend server is included in routing again, with slow start"},
    EventInfo{EventId::ServerSilent, Warning, "ServerSilent",
              "a backend server answers on a new connection while a reply is overdue on another"},
    EventInfo{EventId::ServerWrongSnapshot, Warning, "ServerWrongSnapshot",
              "a backend server answered for another snapshot; the reply was dropped"},
    EventInfo{EventId::ServerRateLimit, Warning, "ServerRateLimit",
              "a backend server has stated or lifted the rate of requests that it accepts"},
    EventInfo{EventId::ServerCold, Info, "ServerCold",
              "a backend server is cold, and gets only what its service allows"},
    EventInfo{EventId::ServerWarm, Info, "ServerWarm",
              "a backend server is no longer cold, and gets its usual requests in steps"},
    EventInfo{EventId::ServerEndChecked, Info, "ServerEndChecked",
              "it was checked whether a backend server that closed a connection has ended"},
    EventInfo{EventId::CrashSuspicion, Warning, "CrashSuspicion",
              "a backend server was lost while it executed a query"},
    EventInfo{EventId::CrashRefusal, Warning, "CrashRefusal",
              "a query was refused because servers were lost while they executed it"},
    EventInfo{EventId::CrashSuspicionCleared, Info, "CrashSuspicionCleared",
              "a query under which servers were lost was executed by one that replied"},
    EventInfo{EventId::PeerOpened, Info, "PeerOpened", "a session with a peer was opened"},
    EventInfo{EventId::PeerLost, Warning, "PeerLost", "a session with a peer ended"},
    EventInfo{EventId::PeerRefused, Error, "PeerRefused",
              "a peer was refused for its version, fleet or key"},
    EventInfo{EventId::CallerProtocolError, Info, "CallerProtocolError",
              "a caller sent a malformed request"},
    EventInfo{EventId::MemoryShortage, Warning, "MemoryShortage",
              "connections were closed or requests refused to stay within the memory limit"},
};

} // namespace

std::span<const EventInfo> allEvents()
{
    return eventTable;
}

const EventInfo &eventInfo(EventId id)
{
    return *std::ranges::find(eventTable, id, &EventInfo::id);
}

} // namespace oleander
