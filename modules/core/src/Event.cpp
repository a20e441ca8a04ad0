#include <oleander/core/Event.h>

#include <algorithm>

namespace oleander {

namespace {

using enum EventSeverity;

constexpr std::array eventTable{
    EventInfo{EventId::DaemonStarted, Info, "DaemonStarted", "the process began to run"},
    EventInfo{EventId::DaemonReady, Info, "DaemonReady", "configuration confirmed, queries taken"},
    EventInfo{EventId::DaemonStopping, Info, "DaemonStopping", "a graceful stop began"},
    EventInfo{EventId::DaemonStopped, Info, "DaemonStopped", "the last query ended; process exits"},
    EventInfo{EventId::LateTimer, Warning, "LateTimer", "the process was paused or overloaded"},
    EventInfo{EventId::BadSettings, Error, "BadSettings", "the settings file can not be used"},
    EventInfo{EventId::SettingsReloaded, Info, "SettingsReloaded",
              "the settings file was read again"},
    EventInfo{EventId::LinesDropped, Warning, "LinesDropped",
              "log lines were left out to bound their volume"},
    EventInfo{EventId::ConfigurationAccepted, Info, "ConfigurationAccepted",
              "a newer configuration is in force"},
    EventInfo{EventId::ConfigurationRefused, Error, "ConfigurationRefused",
              "a published configuration is invalid; the held one stays in force"},
    EventInfo{EventId::ConfigurationOld, Warning, "ConfigurationOld",
              "a version lower than the held one was offered and dropped"},
    EventInfo{EventId::InstanceListChanged, Info, "InstanceListChanged",
              "a newer list of instances is in force"},
    EventInfo{EventId::PartitionMapChanged, Info, "PartitionMapChanged",
              "a newer partition map is in force"},
    EventInfo{EventId::PlatformUnreachable, Warning, "PlatformUnreachable",
              "the configuration service does not answer; held values stay in force"},
    EventInfo{EventId::PlatformReachable, Info, "PlatformReachable",
              "the configuration service answers again"},
    EventInfo{EventId::RegistrationUnreadable, Warning, "RegistrationUnreadable",
              "an entry of the registry names no server that can be used"},
    EventInfo{EventId::ServerRegistered, Info, "ServerRegistered",
              "a backend server is registered, or its registration changed"},
    EventInfo{EventId::ServerGone, Info, "ServerGone",
              "a backend server is not registered any more"},
    EventInfo{EventId::RegistrySourceChanged, Info, "RegistrySourceChanged",
              "the registry is read from another source, an instance or the registry itself"},
    EventInfo{EventId::RegistryReaderFailed, Warning, "RegistryReaderFailed",
              "an instance that reads the registry for this one is left alone for now"},
    EventInfo{EventId::QueryRefused, Info, "QueryRefused", "a query was refused, not run"},
    EventInfo{EventId::QueryPartial, Info, "QueryPartial", "an answer lacks shards"},
    EventInfo{EventId::QueryFailed, Warning, "QueryFailed", "a query ended in an unknown state"},
    EventInfo{EventId::QueryAnswered, Info, "QueryAnswered", "a query was answered"},
    EventInfo{EventId::ShardMissing, Info, "ShardMissing", "a shard gave no part of an answer"},
    EventInfo{EventId::CallerLeft, Info, "CallerLeft",
              "the caller closed its connection before it was answered"},
    EventInfo{EventId::ServerConnectionLost, Warning, "ServerConnectionLost",
              "a connection to a backend server ended with a request in flight"},
    EventInfo{EventId::ServerDraining, Info, "ServerDraining",
              "a backend server gets no new work because it is leaving"},
    EventInfo{EventId::ServerEjected, Warning, "ServerEjected",
              "a backend server is left out of routing for a while"},
    EventInfo{EventId::ServerReadmitted, Info, "ServerReadmitted",
              "a backend server is back in routing, with slow start"},
    EventInfo{EventId::ServerSilent, Warning, "ServerSilent",
              "an open connection owes a reply while a fresh one works"},
    EventInfo{EventId::ServerWrongSnapshot, Warning, "ServerWrongSnapshot",
              "a backend server answered for another snapshot; the reply was dropped"},
    EventInfo{EventId::CrashSuspicion, Warning, "CrashSuspicion",
              "a backend server was lost while it executed a query"},
    EventInfo{EventId::CrashRefusal, Warning, "CrashRefusal",
              "a query was refused because servers were lost while they executed it"},
    EventInfo{EventId::PeerOpened, Info, "PeerOpened", "a session with a peer was opened"},
    EventInfo{EventId::PeerLost, Warning, "PeerLost", "a session with a peer ended"},
    EventInfo{EventId::PeerRefused, Error, "PeerRefused",
              "a peer was refused for its version, fleet or key"},
    EventInfo{EventId::CallerProtocolError, Info, "CallerProtocolError",
              "a caller's bytes were not a well-formed request"},
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
