#include "callers/call_parser.h"

#include "control/records.h"
#include "core/hash.h"
#include "core/json_access.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

#include <algorithm>
#include <optional>

namespace boragepath {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxIdLength = 128;
constexpr std::size_t MaxKeyLength = 256;
constexpr std::int64_t MaxTokensLimit = 1'000'000;
constexpr const char *BearerPrefix = "Bearer ";
constexpr const char *ServicePrefix = "/v1/services/";
/** Maximum nesting depth of a body; deeper bodies are refused before they use up the stack. */
constexpr std::size_t MaxJsonDepth = 32;

Refusal invalidField(const std::string &field, const std::string &message)
{
    Refusal refusal;
    refusal.reason = Reason::BadRequest;
    refusal.field = field;
    refusal.message = absl::StrCat(field, ": ", message);
    return refusal;
}

/** Reads a field that may occur at most once; returns a refusal if it is repeated. */
std::optional<Refusal> readOnce(const HttpRequest &request, const std::string &field,
                                std::string &value)
{
    const std::vector<std::string> values = request.headerValues(field);
    if (values.size() > 1) {
        return invalidField(field, "must not be repeated");
    }
    if (!values.empty()) {
        value = values.front();
    }
    return std::nullopt;
}

std::optional<Refusal> readFlag(const HttpRequest &request, const std::string &field, bool &flag)
{
    std::string text;
    std::optional<Refusal> refusal = readOnce(request, field, text);
    if (refusal.has_value()) {
        return refusal;
    }
    if (text.empty()) {
        return std::nullopt;
    }
    if (text != "true" && text != "false") {
        return invalidField(field, "must be true or false");
    }
    flag = text == "true";
    return std::nullopt;
}

std::optional<Refusal> readId(const HttpRequest &request, const std::string &field,
                              std::string &value)
{
    std::optional<Refusal> refusal = readOnce(request, field, value);
    if (refusal.has_value()) {
        return refusal;
    }
    if (!isValidId(value)) {
        return invalidField(field,
                            "is required and may hold letters, digits, '-', '_' and '.', "
                            "128 at most");
    }
    return std::nullopt;
}

/** Reads the header fields that model calls and service calls have in common. */
std::optional<Refusal> readHeaderFields(const HttpRequest &request, CallRequest &call)
{
    std::string entry;
    std::string program;
    std::string number;
    std::string parent;
    std::optional<Refusal> refusal = readId(request, "Boragepath-Entry", entry);
    if (!refusal.has_value()) {
        refusal = readId(request, "Boragepath-Program", program);
    }
    if (!refusal.has_value()) {
        refusal = readOnce(request, "Boragepath-Call", number);
    }
    if (!refusal.has_value()) {
        refusal = readOnce(request, "Boragepath-Parent", parent);
    }
    if (!refusal.has_value()) {
        refusal = readFlag(request, "Boragepath-Final", call.last);
    }
    bool nonIdempotent = false;
    if (!refusal.has_value()) {
        refusal = readFlag(request, "Boragepath-Non-Idempotent", nonIdempotent);
    }
    if (!refusal.has_value()) {
        refusal = readOnce(request, "Idempotency-Key", call.idempotencyKey);
    }
    if (refusal.has_value()) {
        return refusal;
    }
    std::uint32_t parsed = 0;
    if (!absl::SimpleAtoi(number, &parsed) || parsed == 0) {
        return invalidField("Boragepath-Call", "is required and must be a whole number from 1");
    }
    if (!parent.empty() && !isValidId(parent)) {
        return invalidField("Boragepath-Parent", "must be a program id");
    }
    if (nonIdempotent && call.idempotencyKey.empty()) {
        return invalidField("Idempotency-Key", "is required for a call that is not idempotent");
    }
    if (call.idempotencyKey.size() > MaxKeyLength) {
        return invalidField("Idempotency-Key",
                            absl::StrCat("must have ", MaxKeyLength, " bytes at most"));
    }
    call.program = {EntryName(entry), ProgramId(program)};
    call.number = CallNumber(parsed);
    if (!parent.empty()) {
        call.parent = ProgramId(parent);
    }
    call.idempotent = !nonIdempotent;
    call.bearerKey = bearerKeyOf(request);
    call.relayed = !request.headerValue("Boragepath-Relayed").empty();
    if (call.bearerKey.empty()) {
        Refusal missing = invalidField("Authorization", "must be \"Bearer\" and the entry's key");
        missing.reason = Reason::Unauthorized;
        return missing;
    }
    return std::nullopt;
}

std::optional<Refusal> readMessages(const json::object &body, CallRequest &call)
{
    const json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
        return invalidField("messages", "is required and must be a list that is not empty");
    }
    for (const json::value &message : messages->get_array()) {
        const json::object *object = message.if_object();
        const json::value *role = object == nullptr ? nullptr : object->if_contains("role");
        if (role == nullptr || !role->is_string()) {
            return invalidField("messages", "each must be an object with a role");
        }
        if (!call.content.empty()) {
            call.content += ',';
        }
        call.content += json::serialize(message);
        call.messageCount += 1;
    }
    return std::nullopt;
}

/** The input is stored with the turn. */
std::optional<Refusal> checkContentSize(const CallRequest &call)
{
    if (serializedSize(call.content) <= MaxStoredTextBytes) {
        return std::nullopt;
    }
    return invalidField("body", absl::StrCat("must have ", MaxStoredTextBytes, " bytes at most"));
}

std::optional<Refusal> readMaxTokens(const json::object &body, CallRequest &call)
{
    for (const char *field : {"max_tokens", "max_completion_tokens"}) {
        const json::value *value = body.if_contains(field);
        if (value == nullptr) {
            continue;
        }
        if (!value->is_int64() || value->get_int64() < 1 || value->get_int64() > MaxTokensLimit) {
            return invalidField(field,
                                absl::StrCat("must be a whole number from 1 to ", MaxTokensLimit));
        }
        call.maxTokens = value->get_int64();
    }
    return std::nullopt;
}

/** True for body fields that the system sets itself; all others are passed to the engine. */
bool isReserved(json::string_view field)
{
    constexpr const char *Reserved[] = {"model",  "messages",       "max_tokens",
                                        "stream", "stream_options", "max_completion_tokens",
                                        "user"};
    return std::any_of(std::begin(Reserved), std::end(Reserved),
                       [&](const char *name) { return field == name; });
}

void readExtraFields(const json::object &body, CallRequest &call)
{
    for (const auto &field : body) {
        if (!isReserved(field.key())) {
            call.extraFields += absl::StrCat(",", json::serialize(json::string(field.key())), ":",
                                             json::serialize(field.value()));
        }
    }
}

} // namespace

bool isValidId(const std::string &name)
{
    return !name.empty() && name.size() <= MaxIdLength
        && std::all_of(name.begin(), name.end(), [](char c) {
               return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_'
                   || c == '.';
           });
}

std::string bearerKeyOf(const HttpRequest &request)
{
    const std::string value = request.headerValue("Authorization");
    if (!absl::StartsWith(value, BearerPrefix)) {
        return "";
    }
    return value.substr(std::string(BearerPrefix).size());
}

CallOrRefusal parseModelCall(const HttpRequest &request)
{
    ParsedCall parsed;
    CallRequest &call = parsed.request;
    std::optional<Refusal> refusal = readHeaderFields(request, call);
    if (refusal.has_value()) {
        return *refusal;
    }
    json::error_code error;
    json::parse_options options;
    options.max_depth = MaxJsonDepth;
    const json::value value = json::parse(request.body, error, {}, options);
    if (error || !value.is_object()) {
        return invalidField("body", error ? error.message() : "must be a JSON object");
    }
    const json::object &body = value.get_object();
    const json::value *model = body.if_contains("model");
    if (model == nullptr || !model->is_string() || model->get_string().empty()) {
        return invalidField("model", "is required and must be a text");
    }
    call.pool = PoolName(std::string(model->get_string().data(), model->get_string().size()));
    const json::value *stream = body.if_contains("stream");
    if (stream != nullptr && !stream->is_bool()) {
        return invalidField("stream", "must be true or false");
    }
    parsed.stream = stream != nullptr && stream->get_bool();
    refusal = readMessages(body, call);
    if (!refusal.has_value()) {
        refusal = checkContentSize(call);
    }
    if (!refusal.has_value()) {
        refusal = readMaxTokens(body, call);
    }
    if (refusal.has_value()) {
        return *refusal;
    }
    readExtraFields(body, call);
    call.bodyHash = hashOf(absl::StrCat(call.pool.value(), "\n", call.content, "\n", call.maxTokens,
                                        "\n", call.extraFields, "\n", call.last, "\n",
                                        call.idempotent, "\n", call.idempotencyKey));
    return parsed;
}

CallOrRefusal parseServiceCall(const HttpRequest &request)
{
    ParsedCall parsed;
    CallRequest &call = parsed.request;
    const std::optional<Refusal> refusal = readHeaderFields(request, call);
    if (refusal.has_value()) {
        return *refusal;
    }
    call.isService = true;
    const std::string rest = request.target.substr(std::string(ServicePrefix).size());
    const std::size_t slash = rest.find('/');
    const std::string name = rest.substr(0, slash);
    if (!isValidId(name)) {
        return invalidField("path", "must be /v1/services/<name>/<path>");
    }
    const std::optional<Refusal> objectRefusal =
        readOnce(request, "Boragepath-Object", call.object);
    if (objectRefusal.has_value()) {
        return *objectRefusal;
    }
    if (call.object.size() > MaxKeyLength) {
        return invalidField("Boragepath-Object",
                            absl::StrCat("must have ", MaxKeyLength, " bytes at most"));
    }
    call.pool = PoolName(name);
    call.path = slash == std::string::npos ? "/" : rest.substr(slash);
    call.content = request.body;
    if (const std::optional<Refusal> tooLong = checkContentSize(call); tooLong.has_value()) {
        return *tooLong;
    }
    call.bodyHash = hashOf(absl::StrCat(name, "\n", call.path, "\n", call.content, "\n", call.last,
                                        "\n", call.idempotent, "\n", call.idempotencyKey));
    return parsed;
}

} // namespace boragepath
