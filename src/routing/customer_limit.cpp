// Lookup of the rate limit of a customer.
#include "berylspur/routing/customer_limit.h"

namespace berylspur {

RateLimit rateLimitFor(const schema::ServiceConfig &config, std::string_view customer)
{
    const auto &limits = config.content().limits();
    for (const auto &own : limits.customers()) {
        if (own.customer() == customer)
            return {own.rate(), own.burst()};
    }
    const auto burst =
            limits.customer_burst() == 0 ? limits.customer_rate() : limits.customer_burst();
    return {limits.customer_rate(), burst};
}

} // namespace berylspur
