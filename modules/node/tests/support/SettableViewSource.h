#pragma once

#include <oleander/ports/ViewSource.h>

#include <utility>

namespace oleander::fakes {

/// View source of one daemon whose view is set by the test, so that daemons can have different
/// views.
class SettableViewSource final : public ViewSource
{
public:
    [[nodiscard]] std::shared_ptr<const FleetView> view() const override { return m_view; }
    void set(std::shared_ptr<const FleetView> view) { m_view = std::move(view); }

private:
    std::shared_ptr<const FleetView> m_view;
};

} // namespace oleander::fakes
