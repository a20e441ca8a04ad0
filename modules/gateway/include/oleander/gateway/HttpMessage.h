#pragma once

#include <oleander/core/Ids.h>
#include <oleander/core/Units.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oleander::gateway {

/// One header field.
struct HttpField
{
    std::string name;
    std::string value;

    bool operator==(const HttpField &) const = default;
};

/// A caller's request, read whole. Fields that concern one connection only, and those that the
/// gateway sets itself, are left out of `fields`.
struct CallerRequest
{
    RequestId id;
    std::string method;
    /// Path and query, as the caller wrote them.
    std::string target;
    std::string host;
    std::vector<HttpField> fields;
    std::string body;
    /// How long the caller waits, counted from `arrived`; nothing when it did not say.
    std::optional<Duration> patience;
    TimePoint arrived{};
};

/// What a caller gets back. The length of the body is stated by whoever writes the answer.
struct CallerAnswer
{
    int status = 0;
    std::vector<HttpField> fields;
    std::string body;
};

/// Load that a server reports of itself.
struct ReportedLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/// A complete answer of a backend server.
struct ServerReply
{
    int status = 0;
    /// Fields to hand on, without those that concern one connection only.
    std::vector<HttpField> fields;
    std::string body;
    /// The server's proof of having answered; empty when it gave none.
    std::string receipt;
    /// The server says that it did not execute the request.
    bool isNotExecuted = false;
    /// Another server than the expected one has this address.
    bool isMisdirected = false;
    std::optional<ReportedLoad> load;
};

/// The path without its query.
[[nodiscard]] std::string_view pathOf(std::string_view target);

} // namespace oleander::gateway
