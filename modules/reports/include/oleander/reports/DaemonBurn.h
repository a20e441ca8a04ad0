#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Reason.h>
#include <oleander/reports/BurnHistory.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleander {

/// One backend as one daemon saw it.
struct BackendBurn
{
    BackendId backend;
    Objectives objectives;
    std::array<WindowCounts, burnWindows.size()> windows;

    bool operator==(const BackendBurn &) const = default;
};

/// What a daemon says on `GET /burn`.
struct DaemonBurn
{
    InstanceId instance;
    SectionVersion configuration;
    std::vector<BackendBurn> backends;

    bool operator==(const DaemonBurn &) const = default;
};

/// As JSON. Histograms are written as pairs of bin and count, without the empty bins.
std::string toJson(const DaemonBurn &burn);

/// The reverse of toJson(). The text comes from another process and is checked whole.
std::optional<DaemonBurn> parseDaemonBurn(std::string_view text, Reason &reason);

} // namespace oleander
