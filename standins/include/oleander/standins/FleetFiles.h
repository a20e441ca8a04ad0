#pragma once

#include <oleander/core/Reason.h>
#include <oleander/core/Units.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleander::standins {

/// One sharded index and the servers it has for itself.
struct ServiceShape
{
    std::string backend;
    std::string service;
    int shards = 20;
    /// Servers in all. Shard i has its replicas on servers i * replicas + 0, 1, ... modulo this.
    int servers = 40;
    int replicas = 2;
    int slots = 2;
    int connectionCap = 60;
    Duration connectionCost = milliseconds(6);
};

/// A fleet on loopback: services with their servers, and the daemons in front of them.
struct FleetShape
{
    std::string fleet = "demo";
    std::vector<ServiceShape> services;
    std::vector<std::string> dataCentres{"cdmx-a", "qro-b", "pue-c"};
    int instances = 3;
    int workerThreads = 1;
    /// Ports follow from this: servers first, then the daemons' three addresses, then the
    /// stand-ins' own.
    int basePort = 21000;
    std::uint64_t snapshot = 1;
    /// Policy defaults by their JSON name, with JSON text as value.
    std::map<std::string, std::string> defaults;
};

/// Ports of a fleet, by its base port.
struct FleetPorts
{
    int server(int index) const { return base + index; }
    int caller(int instance) const { return base + 1000 + instance; }
    int peer(int instance) const { return base + 1100 + instance; }
    int operators(int instance) const { return base + 1200 + instance; }
    int platform() const { return base + 1300; }
    int platformAdmin() const { return base + 1301; }
    int serversAdmin() const { return base + 1302; }

    int base = 0;
};

/// "demo": one service of 20 shards; "amms" and "fotolector": the services of the brief's sizes.
std::optional<FleetShape> fleetNamed(const std::string &name, Reason &reason);

/// Writes what the platform publishes (config.json, instances.json, services.json,
/// partitions/<service>.json), servers.json with the connection cost of each server, and
/// settings/<instance>.json for each daemon. Files that exist are replaced.
std::optional<int> writeFleet(const FleetShape &shape, const std::string &folder, Reason &reason);

} // namespace oleander::standins
