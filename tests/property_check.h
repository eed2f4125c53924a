// Runs RapidCheck properties with an explicit number of cases and a fixed seed.
#pragma once

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <rapidcheck.h>
#include <sstream>

namespace berylspur::test {

/// Checks \a property with \a runs cases. The seed is fixed so that CI results are reproducible;
/// set RC_PARAMS ("seed=N") to use another one.
template <typename Property>
void checkProperty(int runs, Property &&property)
{
    rc::detail::TestParams params;
    params.seed = std::getenv("RC_PARAMS") != nullptr ? rc::detail::configuration().testParams.seed
                                                      : 20261204;
    params.maxSuccess = runs;
    rc::detail::TestMetadata metadata;
    metadata.id = boost::unit_test::framework::current_test_case().full_name();
    metadata.description = metadata.id;
    const auto result =
            rc::detail::checkTestable(std::forward<Property>(property), metadata, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    BOOST_TEST_MESSAGE(metadata.id << ": " << text.str());
    BOOST_TEST(result.template is<rc::detail::SuccessResult>(), text.str());
}

} // namespace berylspur::test
