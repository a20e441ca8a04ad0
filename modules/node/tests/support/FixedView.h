#pragma once

#include <oleander/ports/ViewSource.h>

#include <utility>

namespace oleander::fakes {

/// A view that the test sets, each daemon its own, so that daemons can disagree.
class FixedView final : public ViewSource
{
public:
    [[nodiscard]] std::shared_ptr<const FleetView> view() const override { return m_view; }
    void set(std::shared_ptr<const FleetView> view) { m_view = std::move(view); }

private:
    std::shared_ptr<const FleetView> m_view;
};

} // namespace oleander::fakes
