#ifndef LIBHTTP_ERROR_RESPONSE_H_
#define LIBHTTP_ERROR_RESPONSE_H_

#include <cstdint>
#include <string>

#include "LibCore/verdict.h"
#include "LibHttp/http_message.h"

namespace crocus {

/// The JSON body of an error. The verdict states whether the request may have
/// run.
std::string ErrorBody(const std::string& code,
                      const std::string& message,
                      Verdict verdict);

/// A response with such a body.
HttpResponse ErrorResponse(std::uint32_t status,
                           const std::string& code,
                           const std::string& message,
                           Verdict verdict);

}  // namespace crocus

#endif  // LIBHTTP_ERROR_RESPONSE_H_
