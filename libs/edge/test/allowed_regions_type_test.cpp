#include "allowed_regions.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace toucan::edge {

class allowed_regions_type_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(allowed_regions_type_test);
    CPPUNIT_TEST(empty_list_of_the_configuration_allows_all_regions);
    CPPUNIT_TEST(regions_must_be_allowed_by_both);
    CPPUNIT_TEST(no_common_region_allows_no_region);
    CPPUNIT_TEST_SUITE_END();

    static allowed_regions only(const std::vector<std::string>& names)
    {
        std::vector<region_name> all;
        all.reserve(names.size());
        for (const auto& name : names) {
            all.emplace_back(name);
        }
        return allowed_regions(all);
    }

public:
    void empty_list_of_the_configuration_allows_all_regions()
    {
        const auto all = only({});
        CPPUNIT_ASSERT(all == allowed_regions());
        CPPUNIT_ASSERT(!all.restricted() && !all.none());
        CPPUNIT_ASSERT(all.contains(region_name("west")) && all.contains(region_name()));
        CPPUNIT_ASSERT_EQUAL(std::string("all"), all.text());
        CPPUNIT_ASSERT(all.names().empty());
    }

    void regions_must_be_allowed_by_both()
    {
        const auto common = only({"west", "east"}).common_with(only({"east", "north"}));
        CPPUNIT_ASSERT(common == only({"east"}));
        CPPUNIT_ASSERT(common.restricted() && !common.none());
        CPPUNIT_ASSERT(!common.contains(region_name("west")));
        CPPUNIT_ASSERT(!common.contains(region_name()));
        CPPUNIT_ASSERT(only({"west"}) == allowed_regions().common_with(only({"west"})));
        CPPUNIT_ASSERT(only({"west"}) == only({"west"}).common_with(allowed_regions()));
        CPPUNIT_ASSERT_EQUAL(std::string("west,east"), only({"west", "east"}).text());
    }

    // Guards against an empty list of common regions that is read as a permission for all.
    void no_common_region_allows_no_region()
    {
        const auto none = only({"west"}).common_with(only({"east"}));
        CPPUNIT_ASSERT(none.restricted() && none.none());
        CPPUNIT_ASSERT(!none.contains(region_name("west")) && !none.contains(region_name("east")));
        CPPUNIT_ASSERT(none.common_with(allowed_regions()).none());
        CPPUNIT_ASSERT(allowed_regions().common_with(none).none());
        CPPUNIT_ASSERT_EQUAL(std::string("none"), none.text());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(allowed_regions_type_test);

} // namespace toucan::edge
