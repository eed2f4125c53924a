// Result type: a value, or an error code with a detail message.
#pragma once

#include "berylspur/core/error_code.h"

#include <boost/outcome.hpp>
#include <string>
#include <utility>

namespace berylspur {

/// Error code, and a human-readable detail message on where or why it occurred.
struct Error
{
    ErrorCode code = ErrorCode::Ok;
    std::string detail;
};

/// Formats \a error as "4002 NotRunQueueFull: detail".
std::string describe(const Error &error);

/// Value or Error. Reading the value of a failed result terminates the process.
template <typename T>
using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

/// Creates a failure that converts to any Result<T>.
inline auto failure(ErrorCode code, std::string detail = {})
{
    return boost::outcome_v2::failure(Error {code, std::move(detail)});
}

/// Creates a success without a value, for Result<void>.
inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace berylspur
