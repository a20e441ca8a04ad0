#pragma once

#include <functional>
#include <utility>

namespace oleander {

/// Ends a subscription on destruction. Move-only; a default-constructed one does nothing.
class [[nodiscard]] Subscription
{
public:
    Subscription() = default;
    explicit Subscription(std::function<void()> end)
        : m_end(std::move(end))
    {
    }
    Subscription(Subscription &&other) noexcept
        : m_end(std::exchange(other.m_end, nullptr))
    {
    }
    Subscription &operator=(Subscription &&other) noexcept
    {
        if (this != &other) {
            reset();
            m_end = std::exchange(other.m_end, nullptr);
        }
        return *this;
    }
    Subscription(const Subscription &) = delete;
    Subscription &operator=(const Subscription &) = delete;
    ~Subscription() { reset(); }

    /// Ends the subscription now.
    void reset()
    {
        auto end = std::exchange(m_end, nullptr);
        if (end)
            end();
    }

private:
    std::function<void()> m_end;
};

} // namespace oleander
