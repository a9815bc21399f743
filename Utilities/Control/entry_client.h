#ifndef CONTROL_ENTRY_CLIENT_H_
#define CONTROL_ENTRY_CLIENT_H_

#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "Control/command.h"
#include "LibCore/result.h"
#include "LibHttp/http_client.h"

namespace crocus {

/// Calls the command line's entries in turn until one can be reached. Fails
/// with kUnavailable if none can. If a call fails after it may have been sent,
/// the error has the verdict kMayHaveRun and no other entry is tried.
Result<HttpReply> CallEntry(const CommandLine& line, const HttpCall& call);

/// Sends a GET request to one entry and parses the response as a JSON object.
Result<nlohmann::json> GetJsonFromEntry(const std::string& entry,
                                        const std::string& path);

/// Like CallEntry, but parses the response as a JSON object. An error response
/// fails with ErrorFromResponse.
Result<nlohmann::json> CallEntryJson(const CommandLine& line,
                                     const HttpCall& call);

/// Converts a response with a status of 400 or more to an error with the code,
/// message and verdict that the response contains.
Error ErrorFromResponse(const HttpReply& reply);

/// Prints an error and returns the exit code for its error code.
ControlExitCode FailWith(const Error& error);

}  // namespace crocus

#endif  // CONTROL_ENTRY_CLIENT_H_
