#pragma once

#include "control/program.h"
#include "core/verdict.h"
#include "net/http_types.h"

#include <variant>

namespace boragepath {

/** A call in good form, and how its caller wants the answer. */
struct ParsedCall
{
    CallRequest request;
    bool stream = false;
};

/** A parsed call, or what is wrong with its form. */
using CallOrRefusal = std::variant<ParsedCall, Refusal>;

/** Reads a model call: POST /v1/chat/completions in the OpenAI format. */
CallOrRefusal parseModelCall(const HttpRequest &request);

/** Reads a call to a plain service: POST /v1/services/<name>/<path>. */
CallOrRefusal parseServiceCall(const HttpRequest &request);

/** The bearer key of a request, or empty. */
std::string bearerKeyOf(const HttpRequest &request);

/** True if @p name may be a program id: letters, digits, '-', '_' and '.', 128 at most. */
bool isValidId(const std::string &name);

} // namespace boragepath
