#pragma once

#include <oleander/core/StrongId.h>

namespace oleander {

/// An instance of the query tier, that is, one daemon.
using InstanceId = NameId<struct InstanceTag>;
/// A failure domain; each instance and each backend server belongs to one.
using DataCentreId = NameId<struct DataCentreTag>;
/// A sender of queries, as named in the query.
using CallerId = NameId<struct CallerTag>;
/// A group of services that share one set of defaults, for example "client-notes".
using BackendId = NameId<struct BackendTag>;
/// One sharded index of a backend; coordinators are assigned to each service.
using ServiceId = NameId<struct ServiceTag>;
/// One part of a service's index.
using ShardId = NameId<struct ShardTag>;
/// A process that holds replicas of shards.
using ServerId = NameId<struct ServerTag>;
/// Chosen by the caller; unique only in combination with the caller id.
using RequestId = NameId<struct RequestTag>;
/// The fleet a configuration is meant for.
using FleetId = NameId<struct FleetTag>;
/// A document in results; unique within a service.
using DocumentId = NameId<struct DocumentTag>;

/// Version of the published index of a service; increases with each new snapshot.
using SnapshotId = NumberId<struct SnapshotTag>;
/// Version of a published section (configuration, instance list, partition map); only increases.
using SectionVersion = NumberId<struct SectionVersionTag>;
/// One request to one backend server, unique within a daemon process.
using SubRequestId = NumberId<struct SubRequestTag>;
/// One open connection to a backend server, unique within a daemon process.
using ConnectionId = NumberId<struct ConnectionTag>;
/// One call to a peer daemon, unique within a daemon process.
using PeerCallId = NumberId<struct PeerCallTag>;
/// A query that was submitted and has not been answered, unique within a daemon process.
using QueryTicket = NumberId<struct QueryTicketTag>;
/// Hash of the service and payload of a query; equal queries have equal fingerprints.
using Fingerprint = NumberId<struct FingerprintTag>;

} // namespace oleander
