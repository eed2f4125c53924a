// Decides how the body of an HTTP/1.1 message is framed by its Transfer-Encoding (RFC 9112, 6.1).
#pragma once

#include "berylspur/core/http_headers.h"

namespace berylspur {

enum class TransferCoding {
    None, ///< no Transfer-Encoding
    Chunked,
    Unsupported, ///< the body is chunked, but its content has a coding that is not implemented
    Ambiguous, ///< HTTP implementations disagree about where the body ends
};

/// Transfer coding of a message with \a headers. It is ambiguous if chunked is not the final coding
/// or occurs twice, beside a Content-Length, and before HTTP/1.1.
TransferCoding transferCoding(const HeaderList &headers, bool isHttp11);

} // namespace berylspur
