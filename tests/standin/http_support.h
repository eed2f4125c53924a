// Helpers around evhttp that the stand-in programs share.
#pragma once

#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace berylspur::standin {

struct EventDeleter
{
    void operator()(event *e) const { event_free(e); }
    void operator()(event_base *base) const { event_base_free(base); }
    void operator()(evhttp *server) const { evhttp_free(server); }
    void operator()(evbuffer *buffer) const { evbuffer_free(buffer); }
    void operator()(evhttp_uri *uri) const { evhttp_uri_free(uri); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;
using BasePtr = std::unique_ptr<event_base, EventDeleter>;
using ServerPtr = std::unique_ptr<evhttp, EventDeleter>;
using BufferPtr = std::unique_ptr<evbuffer, EventDeleter>;

inline timeval toTimeval(double ms)
{
    const auto us = static_cast<long>(ms * 1000);
    return {us / 1000000, us % 1000000};
}

inline std::string header(evhttp_request *request, const char *name)
{
    const char *value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value ? value : "";
}

inline std::string path(evhttp_request *request)
{
    const char *text = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    return text ? text : "";
}

/// Value of the query parameter \a name, or std::nullopt if the request does not have it.
inline std::optional<std::string> query(evhttp_request *request, const char *name)
{
    const char *text = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    evkeyvalq pairs {};
    if (!text || evhttp_parse_query_str(text, &pairs) != 0)
        return std::nullopt;
    const char *value = evhttp_find_header(&pairs, name);
    std::optional<std::string> result;
    if (value)
        result = value;
    evhttp_clear_headers(&pairs);
    return result;
}

inline std::string body(evhttp_request *request)
{
    evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string text(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, text.data(), text.size());
    return text;
}

inline void reply(evhttp_request *request, int status, const std::string &text,
                  const char *type = "application/json")
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", type);
    const BufferPtr buffer(evbuffer_new());
    // evhttp would also send a body in response to HEAD, which corrupts a keep-alive connection.
    if (evhttp_request_get_command(request) == EVHTTP_REQ_HEAD) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Length",
                          std::to_string(text.size()).c_str());
    } else {
        evbuffer_add(buffer.get(), text.data(), text.size());
    }
    evhttp_send_reply(request, status, nullptr, buffer.get());
}

inline void replyJson(evhttp_request *request, int status, const nlohmann::json &value)
{
    reply(request, status, value.dump() + "\n");
}

} // namespace berylspur::standin
