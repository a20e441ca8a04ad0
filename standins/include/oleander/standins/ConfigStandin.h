#pragma once

#include <oleander/core/Reason.h>
#include <oleander/core/Units.h>
#include <oleander/standins/ConfigStore.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace oleander::standins {

/// Stand-in of the platform's configuration service, see docs/design/published-formats.md.
///
/// Readers get GET /v1/values/<key> with the long-poll watch. Tests steer it by members of this
/// class, or over a second address:
///
///     PUT  /values/<key>                         sets a value and raises its version
///     POST /reload                               reads the folder again
///     POST /switch?down=1&stale=0&slowMs=200     faults; what is not named stays
///     GET  /counts                               {"calls", "reads", "watches", "waiting"}
///
/// Belongs to the thread that runs the context.
class ConfigStandin
{
public:
    explicit ConfigStandin(boost::asio::io_context &context);
    ~ConfigStandin();
    ConfigStandin(const ConfigStandin &) = delete;
    ConfigStandin &operator=(const ConfigStandin &) = delete;

    // Values
    void put(const std::string &key, std::string body);
    std::optional<int> load(const std::string &folder, Reason &reason);

    // Serving. Both return the port.
    std::optional<std::uint16_t> listen(const std::string &address, Reason &reason);
    std::optional<std::uint16_t> listenAdmin(const std::string &address, Reason &reason);

    // Faults
    void setDown(bool isDown);
    void setStale(bool isStale);
    void setSlow(Duration delay);

    /// Calls that readers made, waiting watches included.
    [[nodiscard]] std::uint64_t calls() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oleander::standins
