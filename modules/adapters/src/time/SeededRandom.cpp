#include <oleander/adapters/time/SeededRandom.h>

namespace oleander {

SeededRandom SeededRandom::unpredictable()
{
    constexpr int bitsOfADraw = 32;
    std::random_device device;
    const std::uint64_t high = device();
    return SeededRandom((high << bitsOfADraw) | device());
}

} // namespace oleander
