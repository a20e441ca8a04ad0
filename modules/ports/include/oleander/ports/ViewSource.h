#pragma once

#include <oleander/core/FleetView.h>

#include <memory>

namespace oleander {

/// Provides the view that a query uses from admission to answer. Thread-safe and non-blocking.
class ViewSource
{
public:
    virtual ~ViewSource() = default;

    /// The current view; null until the first one is confirmed.
    [[nodiscard]] virtual std::shared_ptr<const FleetView> view() const = 0;
};

} // namespace oleander
