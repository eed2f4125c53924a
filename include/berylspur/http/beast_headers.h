// Headers of a parsed message as the project's own type.
#pragma once

#include "berylspur/core/http_headers.h"

#include <boost/beast/http/fields.hpp>

namespace berylspur {

inline HeaderList headersOf(const boost::beast::http::fields &fields)
{
    HeaderList headers;
    for (const auto &field : fields)
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return headers;
}

} // namespace berylspur
