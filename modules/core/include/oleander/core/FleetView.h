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
    /// IP number and port where peers connect.
    std::string peerAddress;
    /// IP number and port of the operators' pages.
    std::string operatorAddress;
    /// True when the list says that the instance is going away.
    bool isLeaving = false;

    bool operator==(const Instance &) const = default;
};

/// One backend server as published in a partition map.
struct Server
{
    ServerId id;
    DataCentreId dataCentre;
    /// IP number and port.
    std::string address;
    /// Requests it executes at the same time.
    int slots = 1;
    /// Connections it accepts from the whole fleet.
    int connectionCap = 1;
    bool isLeaving = false;

    bool operator==(const Server &) const = default;
};

/// One shard of a service: the half-open key range [firstKey, endKey) and who holds replicas.
/// An empty endKey means "to the end".
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
    /// In order of firstKey.
    std::vector<Shard> shards;
    std::map<ServerId, Server> servers;

    bool operator==(const PartitionMap &) const = default;
};

/// The published list of instances.
struct InstanceList
{
    SectionVersion version;
    /// In order of id.
    std::vector<Instance> instances;

    bool operator==(const InstanceList &) const = default;
};

/// The instance with this id, or null.
const Instance *findInstance(const InstanceList &list, const InstanceId &id);

/// Everything published that a daemon acts on, as one immutable value.
///
/// A query pins the view that was in force at its admission and uses no other until its answer.
/// Each part has its own version, and each version only rises.
struct FleetView
{
    std::shared_ptr<const PolicySet> policies;
    std::shared_ptr<const InstanceList> instances;
    std::map<ServiceId, std::shared_ptr<const PartitionMap>> partitions;
};

} // namespace oleander
