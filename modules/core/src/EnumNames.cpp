#include <oleander/core/Query.h>
#include <oleander/core/SubRequest.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace oleander {

namespace {

constexpr std::array<std::string_view, 4> outcomeNames{"answered", "partial", "refused", "unknown"};
constexpr std::array<std::string_view, 3> urgencyNames{"bulk", "normal", "urgent"};
constexpr std::array<std::string_view, 2> patienceNames{"tail", "coverage"};
constexpr std::array<std::string_view, 7> replyKindNames{
    "ok", "shed", "draining", "wrongSnapshot", "cancelled", "alreadyRan", "failed",
};

template <typename Enum, std::size_t size>
std::optional<Enum> valueNamed(const std::array<std::string_view, size> &names,
                               std::string_view name)
{
    const auto found = std::ranges::find(names, name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<Enum>(found - names.begin());
}

template <typename Enum, std::size_t size>
std::string_view nameOfValue(const std::array<std::string_view, size> &names, Enum value)
{
    return names[static_cast<std::size_t>(value)];
}

} // namespace

std::string_view nameOf(Outcome outcome)
{
    return nameOfValue(outcomeNames, outcome);
}

std::optional<Outcome> outcomeNamed(std::string_view name)
{
    return valueNamed<Outcome>(outcomeNames, name);
}

std::string_view nameOf(Urgency urgency)
{
    return nameOfValue(urgencyNames, urgency);
}

std::optional<Urgency> urgencyNamed(std::string_view name)
{
    return valueNamed<Urgency>(urgencyNames, name);
}

std::string_view nameOf(Patience patience)
{
    return nameOfValue(patienceNames, patience);
}

std::optional<Patience> patienceNamed(std::string_view name)
{
    return valueNamed<Patience>(patienceNames, name);
}

std::string_view nameOf(ReplyKind kind)
{
    return nameOfValue(replyKindNames, kind);
}

std::optional<ReplyKind> replyKindNamed(std::string_view name)
{
    return valueNamed<ReplyKind>(replyKindNames, name);
}

Answer refusal(ErrorKind kind, std::string text)
{
    Answer answer;
    answer.outcome = Outcome::Refused;
    answer.ran = ExecutionState::NotRun;
    answer.error = kind;
    answer.errorText = std::move(text);
    return answer;
}

} // namespace oleander
