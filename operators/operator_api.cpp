#include "operators/operator_api.h"

#include "callers/call_parser.h"
#include "core/hash.h"
#include "core/logging.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/json.hpp>

namespace boragepath {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char *Prefix = "/operator/v1/";
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpBadRequest = 400;
constexpr unsigned HttpUnauthorized = 401;
constexpr unsigned HttpNotFound = 404;
constexpr unsigned HttpConflict = 409;
constexpr unsigned HttpUnavailable = 503;

/** Windows of the burn report. */
struct BurnWindow
{
    const char *name;
    std::chrono::minutes length;
};
constexpr BurnWindow BurnWindows[] = {
    {"5m", std::chrono::minutes(5)},
    {"1h", std::chrono::hours(1)},
    {"6h", std::chrono::hours(6)},
    {"3d", std::chrono::hours(72)},
};

HttpResponse jsonResponse(unsigned status, const json::value &value)
{
    HttpResponse response;
    response.status = status;
    response.fields.push_back({"Content-Type", "application/json"});
    response.body = json::serialize(value);
    return response;
}

HttpResponse errorResponse(unsigned status, const std::string &message)
{
    return jsonResponse(status, json::object{{"error", message}});
}

json::array textsToJson(const std::vector<std::string> &texts)
{
    json::array result;
    for (const std::string &text : texts) {
        result.emplace_back(text);
    }
    return result;
}

json::object amountToJson(Amount amount)
{
    return {{"tokens", amount.tokens}, {"micros", amount.micros}};
}

const char *stateName(MemberState state)
{
    switch (state) {
    case MemberState::Live:
        return "live";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Gone:
        return "gone";
    }
    return "gone";
}

unsigned statusOf(CatalogueEditResult::Kind kind)
{
    switch (kind) {
    case CatalogueEditResult::Kind::Accepted:
        return HttpOk;
    case CatalogueEditResult::Kind::Conflict:
        return HttpConflict;
    case CatalogueEditResult::Kind::Unavailable:
    case CatalogueEditResult::Kind::Unknown:
        return HttpUnavailable;
    }
    return HttpUnavailable;
}

const char *editName(CatalogueEditResult::Kind kind)
{
    switch (kind) {
    case CatalogueEditResult::Kind::Accepted:
        return "accepted";
    case CatalogueEditResult::Kind::Conflict:
        return "conflict";
    case CatalogueEditResult::Kind::Unavailable:
        return "unavailable";
    case CatalogueEditResult::Kind::Unknown:
        return "unknown";
    }
    return "unknown";
}

json::object turnToJson(const TurnRecord &turn)
{
    return {
        {"call", turn.number.value()},
        {"verdict", std::string(verdictName(turn.verdict))},
        {"pool", turn.pool.value()},
        {"replica", turn.replica.value()},
        {"vm", turn.vm.value()},
        {"idempotent", turn.idempotent},
        {"prompt_tokens", turn.usage.promptTokens},
        {"cached_tokens", turn.usage.cachedTokens},
        {"completion_tokens", turn.usage.completionTokens},
        {"cost", amountToJson(turn.cost)},
        {"started_unix_ms", turn.startedUnixMillis},
        {"took_ms", turn.endedUnixMillis - turn.startedUnixMillis},
        {"at_backend_ms", turn.serviceMillis},
        {"decision", turn.decision},
    };
}

} // namespace

OperatorApi::OperatorApi(CallGateway &gateway, Metrics &metrics,
                         std::function<std::string()> extraMetrics)
    : m_gateway(gateway)
    , m_metrics(metrics)
    , m_extraMetrics(std::move(extraMetrics))
{ }

bool OperatorApi::handles(const HttpRequest &request) const
{
    return absl::StartsWith(request.target, Prefix) || request.target == "/healthz"
        || request.target == "/metrics";
}

asio::awaitable<void> OperatorApi::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (request.target == "/healthz") {
        co_await responder.send(co_await showHealth());
        co_return;
    }
    if (request.target == "/metrics") {
        co_await responder.send(co_await showMetrics());
        co_return;
    }
    if (!equalInConstantTime(bearerKeyOf(request), m_gateway.settings().operatorKey)) {
        co_await responder.send(errorResponse(HttpUnauthorized, "the operator key is wrong"));
        co_return;
    }
    co_await responder.send(co_await answer(request));
}

asio::awaitable<HttpResponse> OperatorApi::answer(const HttpRequest &request)
{
    const std::string what = request.path().substr(std::string(Prefix).size());
    const bool isPost = request.method == "POST";
    if (what == "catalogue" && isPost) {
        co_return co_await applyCatalogue(request);
    }
    if (what == "catalogue") {
        co_return co_await showCatalogue();
    }
    if (what == "vms") {
        co_return co_await showVms();
    }
    if (what == "programs") {
        co_return co_await showPrograms();
    }
    if (what == "explain") {
        co_return co_await explain(request);
    }
    if (what == "intents" && isPost) {
        co_return co_await resolveIntent(request);
    }
    if (what == "intents") {
        co_return co_await showIntents();
    }
    if (what == "budgets") {
        co_return co_await showBudgets();
    }
    if (what == "burn") {
        co_return co_await reportBurn();
    }
    if (what == "drain" && isPost) {
        m_gateway.onControl([](Node &node) { node.leave(); });
        co_return jsonResponse(HttpOk, json::object{{"draining", true}});
    }
    if (what == "log-level" && isPost) {
        const bool known = setLogLevel(request.query("level"));
        co_return known
            ? jsonResponse(HttpOk, json::object{{"level", request.query("level")}})
            : errorResponse(HttpBadRequest, "level: must be one of info, warning, error, off");
    }
    co_return errorResponse(HttpNotFound, "there is no such path or method");
}

asio::awaitable<RangeOutcome> OperatorApi::readRows(std::string prefix)
{
    const ControlQuestion<RangeOutcome> question =
        [prefix](Node &node, std::function<void(RangeOutcome)> done) {
            node.readRows(prefix, [done](const RangeOutcome &outcome) { done(outcome); });
        };
    co_return co_await runOnControlThread<RangeOutcome>(m_gateway, question);
}

// --- Catalogue -------------------------------------------------------------

asio::awaitable<HttpResponse> OperatorApi::applyCatalogue(const HttpRequest &request)
{
    const absl::StatusOr<std::vector<CatalogueEntry>> entries = parseCatalogueFile(request.body);
    if (!entries.ok()) {
        co_return errorResponse(HttpBadRequest, std::string(entries.status().message()));
    }
    for (const CatalogueEntry &entry : *entries) {
        for (const PoolName &pool : entry.pools) {
            const auto &pools = m_gateway.settings().pools;
            const bool known =
                std::any_of(pools.begin(), pools.end(),
                            [&](const PoolSettings &one) { return one.name == pool; });
            if (!known) {
                co_return errorResponse(HttpBadRequest,
                                        absl::StrCat(entry.name.value(), ".pools: there is no \"",
                                                     pool.value(), "\" in this deployment"));
            }
        }
    }
    std::uint64_t base = 0;
    if (!request.query("base").empty() && !absl::SimpleAtoi(request.query("base"), &base)) {
        co_return errorResponse(HttpBadRequest, "base: must be a catalogue revision");
    }
    if (request.query("dry_run") == "true") {
        const std::vector<CatalogueEntry> wanted = *entries;
        using Lines = std::vector<std::string>;
        const ControlQuestion<Lines> question = [wanted](Node &node,
                                                         std::function<void(Lines)> done) {
            Lines changes;
            for (const CatalogueEntry &entry : wanted) {
                const Lines part = describeChange(node.catalogue().find(entry.name), entry);
                changes.insert(changes.end(), part.begin(), part.end());
            }
            done(changes);
        };
        const Lines lines = co_await runOnControlThread<Lines>(m_gateway, question);
        co_return jsonResponse(HttpOk, json::object{{"changes", textsToJson(lines)}});
    }
    const ControlQuestion<CatalogueEditResult> question =
        [wanted = *entries, base](Node &node, std::function<void(CatalogueEditResult)> done) {
            node.applyCatalogue(wanted, CatalogueRevision(base),
                                [done](const CatalogueEditResult &edit) { done(edit); });
        };
    const CatalogueEditResult result =
        co_await runOnControlThread<CatalogueEditResult>(m_gateway, question);
    co_return jsonResponse(statusOf(result.kind),
                           json::object{
                               {"result", editName(result.kind)},
                               {"revision", result.revision.value()},
                               {"changes", textsToJson(result.changes)},
                           });
}

asio::awaitable<HttpResponse> OperatorApi::showCatalogue()
{
    const ControlQuestion<json::value> question = [](Node &node,
                                                     std::function<void(json::value)> done) {
        json::array entries;
        for (const auto &[name, slot] : node.catalogue().entries()) {
            entries.push_back(entryToJson(slot.entry));
        }
        done(json::object{
            {"revision", node.catalogue().revision().value()},
            {"entries", std::move(entries)},
        });
    };
    const json::value value = co_await runOnControlThread<json::value>(m_gateway, question);
    co_return jsonResponse(HttpOk, value);
}

// --- State -----------------------------------------------------------------

asio::awaitable<HttpResponse> OperatorApi::showVms()
{
    const ControlQuestion<json::value> question = [](Node &node,
                                                     std::function<void(json::value)> done) {
        json::array vms;
        for (const MemberStatus &status : node.memberStatus()) {
            vms.push_back(json::object{
                {"vm", status.member.vm.value()},
                {"state", stateName(status.member.state)},
                {"zone", status.member.zone.value()},
                {"fence", status.member.fence.value()},
                {"callers", status.member.callers.text()},
                {"heard", status.heardFrom},
                {"silence_ms", toMillis(status.sinceLastHeard)},
                {"catalogue_revision", status.catalogueRevision.value()},
            });
        }
        done(json::object{
            {"catalogue_revision", node.catalogue().revision().value()},
            {"vms", std::move(vms)},
        });
    };
    const json::value value = co_await runOnControlThread<json::value>(m_gateway, question);
    co_return jsonResponse(HttpOk, value);
}

asio::awaitable<HttpResponse> OperatorApi::showPrograms()
{
    const RangeOutcome rows = co_await readRows("open/");
    if (!rows.answered) {
        co_return errorResponse(HttpUnavailable, "the table service does not answer");
    }
    json::array programs;
    for (const Row &row : rows.rows) {
        const std::optional<ProgramKey> key = programFromOpenKey(row.key);
        const std::optional<OpenProgramRecord> open = decodeOpenProgram(row.value);
        if (!key.has_value() || !open.has_value()) {
            continue;
        }
        json::array replicas;
        for (const ReplicaId &replica : open->replicas) {
            replicas.emplace_back(replica.value());
        }
        programs.push_back(json::object{
            {"entry", key->entry.value()},
            {"program", key->program.value()},
            {"started_unix_ms", open->startedUnixMillis},
            {"ended", open->ended},
            {"replicas", std::move(replicas)},
        });
    }
    co_return jsonResponse(HttpOk, json::object{{"programs", std::move(programs)}});
}

asio::awaitable<HttpResponse> OperatorApi::explain(const HttpRequest &request)
{
    const ProgramKey key{EntryName(request.query("entry")), ProgramId(request.query("program"))};
    const ShardIndex shard = shardOf(key, m_gateway.settings().shardCount);
    const RangeOutcome rows = co_await readRows(keys::program(shard, key));
    if (!rows.answered) {
        co_return errorResponse(HttpUnavailable, "the table service does not answer");
    }
    if (rows.rows.empty()) {
        co_return errorResponse(HttpNotFound, "there is no record of this program");
    }
    json::array calls;
    json::array open;
    bool ended = false;
    for (const Row &row : rows.rows) {
        const std::optional<TurnRecord> turn =
            absl::StrContains(row.key, "/turn/") ? decodeTurn(row.value) : std::nullopt;
        if (turn.has_value()) {
            calls.push_back(turnToJson(*turn));
            ended = ended || turn->last;
            continue;
        }
        const std::optional<IntentRecord> intent =
            absl::StrContains(row.key, "/intent/") ? decodeIntent(row.value) : std::nullopt;
        if (intent.has_value()) {
            open.push_back(json::object{
                {"call", intent->number.value()},
                {"replica", intent->replica.value()},
                {"vm", intent->vm.value()},
            });
        }
        ended = ended || absl::EndsWith(row.key, "/ended");
    }
    co_return jsonResponse(HttpOk,
                           json::object{
                               {"entry", key.entry.value()},
                               {"program", key.program.value()},
                               {"shard", shard.value()},
                               {"ended", ended},
                               {"calls", std::move(calls)},
                               {"open_intents", std::move(open)},
                           });
}

asio::awaitable<HttpResponse> OperatorApi::showIntents()
{
    const RangeOutcome rows = co_await readRows(keys::intentIndexPrefix());
    if (!rows.answered) {
        co_return errorResponse(HttpUnavailable, "the table service does not answer");
    }
    json::array intents;
    for (const Row &row : rows.rows) {
        const std::vector<std::string> parts = absl::StrSplit(row.key, '/');
        const std::optional<IntentRecord> intent = decodeIntent(row.value);
        if (parts.size() != 4 || !intent.has_value()) {
            continue;
        }
        intents.push_back(json::object{
            {"entry", parts[1]},
            {"program", parts[2]},
            {"call", intent->number.value()},
            {"idempotency_key", intent->idempotencyKey},
            {"pool", intent->pool.value()},
            {"replica", intent->replica.value()},
            {"vm", intent->vm.value()},
            {"unix_ms", intent->unixMillis},
        });
    }
    co_return jsonResponse(HttpOk, json::object{{"intents", std::move(intents)}});
}

asio::awaitable<HttpResponse> OperatorApi::resolveIntent(const HttpRequest &request)
{
    const ProgramKey key{EntryName(request.query("entry")), ProgramId(request.query("program"))};
    std::uint32_t number = 0;
    const std::string outcome = request.query("outcome");
    if (!absl::SimpleAtoi(request.query("call"), &number)) {
        co_return errorResponse(HttpBadRequest, "call: must be a call number");
    }
    if (outcome != "ran" && outcome != "not-run") {
        co_return errorResponse(HttpBadRequest, "outcome: must be ran or not-run");
    }
    const bool ran = outcome == "ran";
    const ControlQuestion<bool> question = [=](Node &node, std::function<void(bool)> done) {
        node.resolveIntent(key, CallNumber(number), ran, done);
    };
    const bool resolved = co_await runOnControlThread<bool>(m_gateway, question);
    co_return resolved
        ? jsonResponse(HttpOk, json::object{{"resolved", outcome}})
        : errorResponse(HttpConflict, "the call has no unknown outcome, or it changed meanwhile");
}

asio::awaitable<HttpResponse> OperatorApi::showBudgets()
{
    const RangeOutcome ledgers = co_await readRows("ledger/");
    const RangeOutcome grants = co_await readRows("grant/");
    if (!ledgers.answered || !grants.answered) {
        co_return errorResponse(HttpUnavailable, "the table service does not answer");
    }
    std::map<std::string, Amount> openSpent;
    for (const Row &row : grants.rows) {
        const std::optional<GrantRecord> grant = decodeGrant(row.value);
        if (grant.has_value()) {
            openSpent[keys::ledger(grant->entry, grant->period)] += grant->spent;
        }
    }
    json::array budgets;
    for (const Row &row : ledgers.rows) {
        const std::optional<LedgerRecord> ledger = decodeLedger(row.value);
        const std::vector<std::string> parts = absl::StrSplit(row.key, '/');
        if (!ledger.has_value() || parts.size() != 3) {
            continue;
        }
        budgets.push_back(json::object{
            {"entry", parts[1]},
            {"period", parts[2]},
            {"granted", amountToJson(ledger->granted)},
            {"spent", amountToJson(ledger->closedSpent + openSpent[row.key])},
            {"unaccounted", amountToJson(ledger->unaccounted)},
        });
    }
    co_return jsonResponse(HttpOk, json::object{{"budgets", std::move(budgets)}});
}

asio::awaitable<HttpResponse> OperatorApi::reportBurn()
{
    const RangeOutcome rows = co_await readRows(keys::burnPrefix());
    if (!rows.answered) {
        co_return errorResponse(HttpUnavailable, "the table service does not answer");
    }
    std::vector<BurnRecord> records;
    for (const Row &row : rows.rows) {
        const std::optional<BurnRecord> record = decodeBurn(row.value);
        if (record.has_value()) {
            records.push_back(*record);
        }
    }
    using Entries = std::map<EntryName, CatalogueEntry>;
    const ControlQuestion<Entries> question = [](Node &node, std::function<void(Entries)> done) {
        Entries result;
        for (const auto &[name, slot] : node.catalogue().entries()) {
            result[name] = slot.entry;
        }
        done(result);
    };
    const Entries entries = co_await runOnControlThread<Entries>(m_gateway, question);
    std::map<EntryName, double> shares;
    for (const auto &[name, entry] : entries) {
        shares[name] = entry.objectiveShare;
    }
    std::map<EntryName, json::object> lines;
    const WallTime now = m_gateway.clock().wallNow();
    for (const BurnWindow &window : BurnWindows) {
        for (const EntryBurnRate &line : burnRates(records, shares, now, window.length)) {
            lines[line.entry][window.name] = json::object{
                {"programs", line.programs},
                {"missed", line.missed},
                {"burn", line.burn},
            };
        }
    }
    json::array report;
    for (auto &[name, windows] : lines) {
        const auto entry = entries.find(name);
        json::object object{{"entry", name.value()}, {"windows", std::move(windows)}};
        if (entry != entries.end()) {
            object["class"] =
                serviceClassNames()[static_cast<std::size_t>(entry->second.serviceClass)];
            object["objective_ms"] = entry->second.objective.count();
            object["objective_share"] = entry->second.objectiveShare;
        }
        report.push_back(std::move(object));
    }
    co_return jsonResponse(HttpOk, json::object{{"entries", std::move(report)}});
}

// --- Health and metrics ----------------------------------------------------

asio::awaitable<HttpResponse> OperatorApi::showHealth()
{
    const ControlQuestion<bool> question = [](Node &node, std::function<void(bool)> done) {
        done(node.ready());
    };
    const bool ready = co_await runOnControlThread<bool>(m_gateway, question);
    co_return jsonResponse(ready ? HttpOk : HttpUnavailable, json::object{{"ready", ready}});
}

asio::awaitable<HttpResponse> OperatorApi::showMetrics()
{
    const ControlQuestion<NodeGauges> question =
        [](Node &node, std::function<void(NodeGauges)> done) { done(node.gauges()); };
    const NodeGauges gauges = co_await runOnControlThread<NodeGauges>(m_gateway, question);
    HttpResponse response;
    response.fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
    std::string &text = response.body;
    const auto gauge = [&](const char *name, double value) { text += formatGauge(name, value); };
    const auto counter = [&](const char *name, std::uint64_t value) {
        text += formatCounter(name, value);
    };
    gauge("boragepath_lease_valid", gauges.leaseValid ? 1 : 0);
    gauge("boragepath_members_live", static_cast<double>(gauges.liveMembers));
    gauge("boragepath_members_suspect", static_cast<double>(gauges.suspects));
    gauge("boragepath_shards_owned", static_cast<double>(gauges.ownedShards));
    gauge("boragepath_programs", static_cast<double>(gauges.programs));
    gauge("boragepath_calls_under_way", static_cast<double>(gauges.callsUnderWay));
    gauge("boragepath_permits_running", static_cast<double>(gauges.permitsRunning));
    gauge("boragepath_permits_waiting", static_cast<double>(gauges.permitsWaiting));
    gauge("boragepath_history_cached_bytes", static_cast<double>(gauges.cachedBytes));
    gauge("boragepath_catalogue_revision", static_cast<double>(gauges.catalogueRevision.value()));
    counter("boragepath_shard_takeovers_total", gauges.takeovers);
    counter("boragepath_table_reads_total", gauges.tableReads);
    counter("boragepath_commits_total", gauges.commits.commits);
    counter("boragepath_commit_items_total", gauges.commits.items);
    counter("boragepath_commit_resends_total", gauges.commits.resends);
    counter("boragepath_commit_conflicts_total", gauges.commits.conflicts);
    counter("boragepath_local_grants_total", gauges.localGrants);
    counter("boragepath_calls_answered_total", gauges.calls.answered);
    counter("boragepath_calls_replayed_total", gauges.calls.replayed);
    counter("boragepath_calls_refused_total", gauges.calls.refused);
    counter("boragepath_calls_unknown_total", gauges.calls.mayHaveRun);
    counter("boragepath_call_retries_total", gauges.calls.retries);
    counter("boragepath_call_moves_total", gauges.calls.moves);
    counter("boragepath_programs_ended_total", gauges.calls.programsEnded);
    counter("boragepath_prompt_tokens_total",
            static_cast<std::uint64_t>(gauges.calls.promptTokens));
    counter("boragepath_cached_tokens_total",
            static_cast<std::uint64_t>(gauges.calls.cachedTokens));
    counter("boragepath_completion_tokens_total",
            static_cast<std::uint64_t>(gauges.calls.completionTokens));
    text += m_extraMetrics();
    text += m_metrics.prometheusText();
    co_return response;
}

} // namespace boragepath
