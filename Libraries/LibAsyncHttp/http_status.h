#ifndef LIBASYNCHTTP_HTTP_STATUS_H_
#define LIBASYNCHTTP_HTTP_STATUS_H_

#include <cstdint>

/// Status codes of HTTP responses: RFC 9110, RFC 6585 (429 and 431) and RFC
/// 4918 (507).
namespace crocus::http_status {

inline constexpr std::uint32_t kOk = 200;
inline constexpr std::uint32_t kAccepted = 202;
inline constexpr std::uint32_t kBadRequest = 400;
inline constexpr std::uint32_t kUnauthorized = 401;
inline constexpr std::uint32_t kNotFound = 404;
inline constexpr std::uint32_t kRequestTimeout = 408;
inline constexpr std::uint32_t kConflict = 409;
inline constexpr std::uint32_t kGone = 410;
inline constexpr std::uint32_t kPayloadTooLarge = 413;
inline constexpr std::uint32_t kMisdirected = 421;
inline constexpr std::uint32_t kUnprocessable = 422;
inline constexpr std::uint32_t kTooManyRequests = 429;
inline constexpr std::uint32_t kHeaderTooLarge = 431;
inline constexpr std::uint32_t kServerError = 500;
inline constexpr std::uint32_t kBadGateway = 502;
inline constexpr std::uint32_t kUnavailable = 503;
inline constexpr std::uint32_t kGatewayTimeout = 504;
inline constexpr std::uint32_t kStorageFull = 507;

constexpr bool IsSuccess(std::uint32_t status) {
  return status >= 200 && status < 300;
}

}  // namespace crocus::http_status

#endif  // LIBASYNCHTTP_HTTP_STATUS_H_
