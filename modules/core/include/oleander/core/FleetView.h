#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Policy.h>
#include <oleander/core/Units.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oleander {

/// One daemon as published in the list of instances.
struct Instance
{
    InstanceId id;
    DataCentreId dataCentre;
    /// IP address and port for connections from peers.
    std::string peerAddress;
    /// IP address and port of the HTTP pages for operators.
    std::string operatorAddress;
    /// True when the published list marks the instance as leaving the fleet.
    bool isLeaving = false;

    bool operator==(const Instance &) const = default;
};

/// One backend server as published in a partition map.
struct Server
{
    ServerId id;
    DataCentreId dataCentre;
    /// IP address and port.
    std::string address;
    /// Requests that the server executes concurrently.
    int slots = 1;
    /// Connections that the server accepts from all instances together.
    int connectionCap = 1;
    bool isLeaving = false;

    bool operator==(const Server &) const = default;
};

/// One shard of a service: the half-open key range [firstKey, endKey) and the servers that hold
/// replicas. An empty endKey means that the range has no upper bound.
struct Shard
{
    ShardId id;
    std::string firstKey;
    std::string endKey;
    std::vector<ServerId> replicas;

    bool operator==(const Shard &) const = default;
};

/// The partition map of one service for one snapshot of its index.
struct PartitionMap
{
    BackendId backend;
    ServiceId service;
    SectionVersion version;
    SnapshotId snapshot;
    /// Sorted by firstKey.
    std::vector<Shard> shards;
    std::map<ServerId, Server> servers;

    bool operator==(const PartitionMap &) const = default;
};

/// The published list of instances.
struct InstanceList
{
    SectionVersion version;
    /// Sorted by id.
    std::vector<Instance> instances;

    bool operator==(const InstanceList &) const = default;
};

/// The instance with this id, or null.
const Instance *findInstance(const InstanceList &list, const InstanceId &id);

/// An immutable snapshot of the configuration, the instance list and the partition maps.
///
/// A query keeps the view that was in force when it was admitted until it is answered. Each part
/// has a version of its own, and versions only increase.
struct FleetView
{
    std::shared_ptr<const PolicySet> policies;
    std::shared_ptr<const InstanceList> instances;
    std::map<ServiceId, std::shared_ptr<const PartitionMap>> partitions;
};

} // namespace oleander
