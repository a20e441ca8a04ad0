#pragma once

#include <oleander/core/FleetView.h>

#include <memory>

namespace oleander {

/// Where a query pins what is published. Safe to call from any thread, without blocking.
class ViewSource
{
public:
    virtual ~ViewSource() = default;

    /// The view in force; null until the first one is confirmed.
    [[nodiscard]] virtual std::shared_ptr<const FleetView> view() const = 0;
};

} // namespace oleander
