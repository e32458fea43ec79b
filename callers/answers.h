#pragma once

#include "control/effects.h"
#include "net/http_types.h"

#include <string>

namespace boragepath {

/** The HTTP response to a call that was refused or failed. */
HttpResponse refusalResponse(const Refusal &refusal, CallNumber nextCall);

/** The HTTP response to a successful call that is not streamed. */
HttpResponse resultResponse(const CallAnswer &answer);

/** The HTTP header of a streamed answer. */
HttpResponse streamHeader();

/**
 * The last server-sent events of a streamed answer; for a replayed call these include the whole
 * recorded answer. Those of a refusal have no end marker: the stream has broken off.
 */
std::string finalStreamEvents(const CallAnswer &answer);

/** Encodes @p data as one server-sent event. */
std::string eventText(const std::string &data);

} // namespace boragepath
