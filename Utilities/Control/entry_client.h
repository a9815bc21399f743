#ifndef CONTROL_ENTRY_CLIENT_H_
#define CONTROL_ENTRY_CLIENT_H_

#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "Control/command.h"
#include "LibCore/result.h"
#include "LibHttp/http_client.h"

namespace crocus {

/// Calls the first of the command's entries that can be reached. Fails with
/// kUnavailable if none can, and with the verdict kMayHaveRun if a call broke
/// after it was sent; it is not repeated then.
Result<HttpReply> CallEntry(const CommandLine& line, const HttpCall& call);

/// Calls one entry and reads its answer as a JSON object.
Result<nlohmann::json> GetJsonFromEntry(const std::string& entry,
                                        const std::string& path);

/// Like CallEntry, for an answer that is a JSON object. A refusal fails with
/// the entry's code, message and verdict.
Result<nlohmann::json> CallEntryJson(const CommandLine& line,
                                     const HttpCall& call);

/// Error of an answer with a status of 400 or more.
Error ErrorFromResponse(const HttpReply& reply);

/// Prints an error; the exit code follows from its code.
ExitCode FailWith(const Error& error);

}  // namespace crocus

#endif  // CONTROL_ENTRY_CLIENT_H_
