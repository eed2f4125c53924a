// Parsing of peer replies at the gate, and the values of the outcome header.
#pragma once

#include "berylspur/core/http_headers.h"
#include "berylspur/transport/peer.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace berylspur {

inline constexpr std::string_view NotRunOutcome = "not-run";
inline constexpr std::string_view UnknownOutcome = "unknown";
inline constexpr std::string_view RanOutcome = "ran";

/// Headers in a peer message.
template <typename Message>
HeaderList headersFrom(const Message &message)
{
    HeaderList headers;
    headers.reserve(static_cast<std::size_t>(message.headers_size()));
    for (const auto &header : message.headers())
        headers.emplace_back(header.name(), header.value());
    return headers;
}

/// Buffers a peer reply; \a done gets the envelope and the payload once it is complete.
inline ExchangeHandler collectReply(std::function<void(const std::string &, std::string)> done,
                                    std::function<void()> failed)
{
    struct Response
    {
        std::string envelope;
        std::string payload;
    };
    auto response = std::make_shared<Response>();
    ExchangeHandler handler;
    handler.reply = [response](std::string envelope) { response->envelope = std::move(envelope); };
    handler.data = [response](std::string_view bytes) { response->payload.append(bytes); };
    handler.ended = [response, done = std::move(done), failed = std::move(failed)](ErrorCode code) {
        if (code == ErrorCode::Ok)
            done(response->envelope, std::move(response->payload));
        else
            failed();
    };
    return handler;
}

} // namespace berylspur
