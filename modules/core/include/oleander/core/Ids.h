#pragma once

#include <oleander/core/StrongId.h>

namespace oleander {

/// An instance of the query tier, that is, one daemon.
using InstanceId = NameId<struct InstanceTag>;
/// A failure domain; instances and backend servers each stand in one.
using DataCentreId = NameId<struct DataCentreTag>;
/// Who sends queries, as named in the query.
using CallerId = NameId<struct CallerTag>;
/// A family of services with one set of defaults, for example "client-notes".
using BackendId = NameId<struct BackendTag>;
/// One sharded index inside a backend; the unit that coordinators are assigned to.
using ServiceId = NameId<struct ServiceTag>;
/// One part of a service's index.
using ShardId = NameId<struct ShardTag>;
/// A process that holds replicas of shards.
using ServerId = NameId<struct ServerTag>;
/// Chosen by the caller; unique only together with the caller.
using RequestId = NameId<struct RequestTag>;
/// The fleet a configuration is meant for.
using FleetId = NameId<struct FleetTag>;
/// A document in results; unique inside a service.
using DocumentId = NameId<struct DocumentTag>;

/// Version of the published index of a service; rises with each new snapshot.
using SnapshotId = NumberId<struct SnapshotTag>;
/// Version of a published section (configuration, instance list, partition map); only rises.
using SectionVersion = NumberId<struct SectionVersionTag>;
/// One request to one backend server, unique inside a daemon process.
using SubRequestId = NumberId<struct SubRequestTag>;
/// One open connection to a backend server, unique inside a daemon process.
using ConnectionId = NumberId<struct ConnectionTag>;
/// One call to a peer daemon, unique inside a daemon process.
using PeerCallId = NumberId<struct PeerCallTag>;
/// A query that was submitted and has not been answered, unique inside a daemon process.
using QueryTicket = NumberId<struct QueryTicketTag>;
/// Hash of what a query asks for; equal queries have equal fingerprints.
using Fingerprint = NumberId<struct FingerprintTag>;

} // namespace oleander
