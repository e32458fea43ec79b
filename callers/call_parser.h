#pragma once

#include "control/program.h"
#include "core/verdict.h"
#include "net/http_types.h"

#include <variant>

namespace boragepath {

/** A valid call, and whether its caller wants the answer as a stream. */
struct ParsedCall
{
    CallRequest request;
    bool stream = false;
};

/** A parsed call, or a refusal that names the invalid field. */
using CallOrRefusal = std::variant<ParsedCall, Refusal>;

/** Parses a model call: POST /v1/chat/completions in the OpenAI format. */
CallOrRefusal parseModelCall(const HttpRequest &request);

/** Parses a call to a plain service: POST /v1/services/<name>/<path>. */
CallOrRefusal parseServiceCall(const HttpRequest &request);

/** The bearer key of a request; empty if it has none. */
std::string bearerKeyOf(const HttpRequest &request);

/**
 * True if @p name is valid as the id of a program, catalogue entry or service.
 *
 * Valid ids have 1 to 128 characters: letters, digits, '-', '_' and '.'.
 */
bool isValidId(const std::string &name);

} // namespace boragepath
