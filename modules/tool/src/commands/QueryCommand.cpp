#include "commands/CommandLine.h"
#include "commands/Commands.h"
#include "http/HttpFetch.h"

#include <oleander/adapters/callers/QueryCodec.h>

#include <random>

namespace oleander {

namespace {

constexpr auto queryNotes =
    "\nExit codes: 0 answered with every shard, 1 partial, refused or unknown, 2 wrong arguments,\n"
    "3 the daemon gave no answer.\n";

void addOptions(CommandLine &line)
{
    const auto text = [] { return cxxopts::value<std::string>(); };
    line.options()("address", "caller address of a daemon, IP number and port", text())(
        "backend", "backend", text())("service", "service; needed if the backend has several",
                                      text())("caller", "name of the caller",
                                              text()->default_value("oleanderctl"))(
        "request-id", "id of the request; a random one if absent",
        text())("payload", "payload", text())("shard", "only this shard; may be repeated",
                                              cxxopts::value<std::vector<std::string>>())(
        "first-key", "first key of a range", text())("end-key", "key behind a range", text())(
        "deadline-ms", "time left, in milliseconds",
        cxxopts::value<std::int64_t>()->default_value("1000"))("urgency", "bulk, normal or urgent",
                                                               text()->default_value("normal"))(
        "patience", "tail or coverage; as configured if absent", text())(
        "limit", "most documents; 0 means all", cxxopts::value<std::int64_t>()->default_value("0"))(
        "not-idempotent", "the request must not run twice; it is issued now");
}

std::string randomRequestId()
{
    std::random_device device;
    return "ctl-" + std::to_string(device()) + "-" + std::to_string(device());
}

/// The query, or nothing after a word was not known.
std::optional<Query> queryOf(const CommandLine &line)
{
    Query query;
    query.caller = CallerId(line.text("caller"));
    query.request = RequestId(line.has("request-id") ? line.text("request-id") : randomRequestId());
    query.backend = BackendId(line.text("backend"));
    query.service = ServiceId(line.text("service"));
    for (const std::string &shard : line.texts("shard"))
        query.shards.emplace_back(shard);
    query.firstKey = line.text("first-key");
    query.endKey = line.text("end-key");
    query.payload = line.text("payload");
    query.deadline = milliseconds(line.number("deadline-ms"));
    query.limit = static_cast<std::size_t>(std::max<std::int64_t>(line.number("limit"), 0));
    query.isIdempotent = !line.has("not-idempotent");
    if (!query.isIdempotent)
        query.issuedAt =
            std::chrono::time_point_cast<Duration>(WallTime(std::chrono::duration_cast<Duration>(
                std::chrono::system_clock::now().time_since_epoch())));
    const auto urgency = urgencyNamed(line.text("urgency"));
    query.patience = patienceNamed(line.text("patience"));
    if (!urgency || (line.has("patience") && !query.patience))
        return std::nullopt;
    query.urgency = *urgency;
    return query;
}

void writeAnswer(const Query &query, const Answer &answer, std::ostream &out)
{
    out << "request      " << query.request << '\n'
        << "outcome      " << nameOf(answer.outcome) << ", " << nameOf(answer.ran) << '\n';
    if (answer.error != ErrorKind::None)
        out << "error        " << answerFor(answer.error).name << ": " << answer.errorText
            << (answerFor(answer.error).mayRepeat ? " (may be repeated)" : " (do not repeat)")
            << '\n';
    out << "snapshot     " << answer.snapshot << '\n'
        << "coverage     " << answer.coverage.answered << " of " << answer.coverage.asked
        << " shards";
    for (const ShardId &shard : answer.coverage.missing)
        out << ", " << shard << " missing";
    out << '\n'
        << "time         " << inMilliseconds(answer.timings.total) << " ms, of that "
        << inMilliseconds(answer.timings.queued) << " ms queued and "
        << inMilliseconds(answer.timings.executing) << " ms executing; "
        << inMilliseconds(answer.timeLeft) << " ms left\n"
        << "extra        " << answer.extraSubRequests << " sub-requests\n"
        << "coordinator  " << answer.coordinator << ", configuration " << answer.configuration
        << '\n'
        << "results      " << answer.documents.size() << '\n';
    for (const Document &document : answer.documents)
        out << "  " << document.id << "  " << document.score << "  " << document.body << '\n';
}

ExitCode showAnswer(const CommandLine &line, const Query &query, const HttpResponse &response,
                    Terminal &terminal)
{
    Reason reason;
    const std::optional<Answer> answer = answerFromJson(response.body, reason);
    if (!answer) {
        terminal.err << "oleanderctl query: status " << response.status
                     << ", no answer of a daemon: " << reason.text << '\n';
        return ExitCode::Unreachable;
    }
    if (line.isJson())
        terminal.out << response.body << '\n';
    else
        writeAnswer(query, *answer, terminal.out);
    return answer->outcome == Outcome::Answered ? ExitCode::Ok : ExitCode::Finding;
}

} // namespace

ExitCode runQuery(const std::vector<std::string> &arguments, Terminal &terminal)
{
    CommandLine line("query", "Sends one query to a daemon and shows the answer.",
                     "--address ADDRESS --backend NAME [OPTION...]", queryNotes);
    addOptions(line);
    if (const auto code = line.parse(arguments, terminal))
        return *code;
    if (!line.has("address") || !line.has("backend"))
        return line.refuse(terminal, "--address and --backend are needed");
    const std::optional<Query> query = queryOf(line);
    if (!query)
        return line.refuse(terminal, "--urgency or --patience is no known word");
    constexpr Duration grace = seconds(1);
    HttpRequest request;
    request.address = line.text("address");
    request.target = "/v1/query";
    request.body = queryToJson(*query);
    request.timeout = *query->deadline + grace;
    const HttpResult result = fetch(request);
    if (result.response)
        return showAnswer(line, *query, *result.response, terminal);
    terminal.err << "oleanderctl query: " << result.reason.text << '\n';
    return ExitCode::Unreachable;
}

} // namespace oleander
