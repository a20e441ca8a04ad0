#include <oleander/decisions/request/AnswerMargin.h>

#include <algorithm>

namespace oleander {

namespace {

/// Time in which the answer is merged and written, and the caller reads it.
constexpr Duration processing = milliseconds(3);
/// Kept back when the way is not known: 5 ms each way, a late wake-up, and the processing.
constexpr Duration marginOfUnknownWay = milliseconds(16);

} // namespace

Duration answerMargin(const AnswerWay &way)
{
    if (!way.roundTrip)
        return marginOfUnknownWay;
    // Twice the round trip, since queues on the links lengthen the way in a burst of requests.
    return std::min(marginOfUnknownWay, 2 * *way.roundTrip + way.wakeUpLateness + processing);
}

} // namespace oleander
