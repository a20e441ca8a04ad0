#pragma once

#include <oleander/adapters/concurrency/RcuValue.h>
#include <oleander/ports/ViewSource.h>

namespace oleander {

/// The view in force, written by the control thread and read by all workers without a lock.
class ViewBoard final : public ViewSource
{
public:
    [[nodiscard]] std::shared_ptr<const FleetView> view() const override { return m_view.read(); }
    void publish(std::shared_ptr<const FleetView> view) { m_view.publish(std::move(view)); }

private:
    RcuValue<FleetView> m_view;
};

} // namespace oleander
