#include <oleander/bench/LoadPlan.h>

#include <nlohmann/json.hpp>

namespace oleander::bench {

namespace {

using nlohmann::json;

std::int64_t inMs(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

Duration durationOf(const json &object, const char *key, Duration fallback)
{
    return milliseconds(object.value(key, inMs(fallback)));
}

QueryClass classOf(const json &object)
{
    QueryClass result;
    result.caller = object.at("caller").get<std::string>();
    result.backend = object.at("backend").get<std::string>();
    result.service = object.value("service", "");
    result.rate = object.at("rate").get<double>();
    result.urgency = urgencyNamed(object.value("urgency", "normal")).value_or(Urgency::Normal);
    result.patience = patienceNamed(object.value("patience", ""));
    result.deadline = durationOf(object, "deadlineMs", result.deadline);
    result.isIdempotent = object.value("idempotent", true);
    result.payload = object.value("payload", result.payload);
    result.shards = object.at("shards").get<std::vector<std::string>>();
    result.documentsPerShard = object.value("documentsPerShard", result.documentsPerShard);
    result.repeats = object.value("repeats", 0);
    return result;
}

json textOf(const QueryClass &query)
{
    json object{{"caller", query.caller},           {"backend", query.backend},
                {"service", query.service},         {"rate", query.rate},
                {"urgency", nameOf(query.urgency)}, {"deadlineMs", inMs(query.deadline)},
                {"idempotent", query.isIdempotent}, {"payload", query.payload},
                {"shards", query.shards},           {"documentsPerShard", query.documentsPerShard},
                {"repeats", query.repeats}};
    if (query.patience)
        object["patience"] = nameOf(*query.patience);
    return object;
}

PlannedAction actionOf(const json &object)
{
    PlannedAction action;
    action.at = milliseconds(object.at("atMs").get<std::int64_t>());
    action.address = object.at("address").get<std::string>();
    action.method = object.value("method", action.method);
    action.target = object.at("target").get<std::string>();
    action.body = object.value("body", "");
    return action;
}

json textOf(const PlannedAction &action)
{
    return {{"atMs", inMs(action.at)},
            {"address", action.address},
            {"method", action.method},
            {"target", action.target},
            {"body", action.body}};
}

LoadPlan planOf(const json &object)
{
    LoadPlan plan;
    plan.name = object.value("name", "load");
    plan.warmUp = durationOf(object, "warmUpMs", plan.warmUp);
    plan.length = durationOf(object, "lengthMs", plan.length);
    plan.drain = durationOf(object, "drainMs", plan.drain);
    plan.seed = object.value("seed", plan.seed);
    plan.targets = object.at("targets").get<std::vector<std::string>>();
    plan.serversAdmin = object.value("serversAdmin", "");
    plan.platformAdmin = object.value("platformAdmin", "");
    for (const auto &query : object.at("classes"))
        plan.classes.push_back(classOf(query));
    for (const auto &action : object.value("actions", json::array()))
        plan.actions.push_back(actionOf(action));
    return plan;
}

} // namespace

std::optional<LoadPlan> parseLoadPlan(std::string_view text, Reason &reason)
{
    try {
        auto plan = planOf(json::parse(text));
        if (!plan.targets.empty() && !plan.classes.empty())
            return plan;
        reason.set(ErrorKind::BadRequest, "load plan: targets and classes must not be empty");
    } catch (const json::exception &error) {
        reason.set(ErrorKind::BadRequest, std::string("load plan: ") + error.what());
    }
    return std::nullopt;
}

std::string loadPlanText(const LoadPlan &plan)
{
    json classes = json::array();
    for (const auto &query : plan.classes)
        classes.push_back(textOf(query));
    json actions = json::array();
    for (const auto &action : plan.actions)
        actions.push_back(textOf(action));
    const json object{{"name", plan.name},
                      {"warmUpMs", inMs(plan.warmUp)},
                      {"lengthMs", inMs(plan.length)},
                      {"drainMs", inMs(plan.drain)},
                      {"seed", plan.seed},
                      {"targets", plan.targets},
                      {"serversAdmin", plan.serversAdmin},
                      {"platformAdmin", plan.platformAdmin},
                      {"classes", classes},
                      {"actions", actions}};
    constexpr int indent = 1;
    return object.dump(indent);
}

} // namespace oleander::bench
