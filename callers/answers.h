#pragma once

#include "control/effects.h"
#include "net/http_types.h"

#include <string>

namespace boragepath {

/** The HTTP response to a call that was refused or failed. */
HttpResponse refusalResponse(const Refusal &refusal, CallNumber nextCall);

/** The HTTP response to a call whose caller wants no stream. */
HttpResponse resultResponse(const CallAnswer &answer);

/** Header of a streamed answer. */
HttpResponse streamHeader();

/** The last events of a streamed answer; for a replay, the whole recorded answer too. */
std::string finalStreamEvents(const CallAnswer &answer);

/** One server-sent event. */
std::string eventText(const std::string &data);

} // namespace boragepath
