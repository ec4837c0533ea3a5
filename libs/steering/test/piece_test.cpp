#include "random_text.h"
#include "toucan/base/config.h"
#include "toucan/base/last_reason.h"
#include "toucan/steering/build_configuration.h"
#include "toucan/steering/cidr.h"
#include "toucan/steering/client_block_table_builder.h"
#include "toucan/steering/manifest.h"
#include "toucan/steering/piece.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace toucan::steering {

namespace {

client_block block(const char* cidr, const char* domain)
{
    auto value = *parse_cidr(cidr);
    value.failure_domain = failure_domain_name(domain);
    return value;
}

steering_source small_source()
{
    steering_source source;
    source.topology.regions = {region_name("west"), region_name("east")};
    source.topology.failure_domains = {{failure_domain_name("a"), region_name("west"), 2},
                                       {failure_domain_name("b"), region_name("east"), 3}};
    source.topology.links = {
        {region_name("west"), region_name("east"), 4000, std::chrono::milliseconds(55)}};
    service value;
    value.name = service_name("checkdesk");
    value.rate = 0.1;
    value.operations = {{"GET", "/status", true}, {"POST", "/consents", false}};
    value.upstreams = {{backend_server_name("b1"), *vm_address::parse("127.1.1.11:8080"),
                        failure_domain_name("a"), 9, 700, true}};
    source.services = {value};
    source.blocks = {block("0.0.0.0/0", "a"), block("10.0.0.0/8", "b"), block("10.1.2.3/32", "a")};
    return source;
}

/// Generates blocks that may nest. About half of them lie in 10.0.0.0/12, so that the density of
/// blocks differs widely between address ranges.
std::vector<client_block> random_blocks(unsigned seed, std::size_t n)
{
    std::mt19937 random(seed);
    std::map<std::pair<std::uint32_t, std::uint8_t>, client_block> out;
    while (out.size() < n) {
        const auto length = static_cast<std::uint8_t>(random() % 4 == 0 ? random() % 33 : 24);
        auto ip = static_cast<std::uint32_t>(random());
        if (random() % 2 == 0) {
            ip = (ip & 0x000fffffU) | 0x0a000000U;
        }
        ip &= prefix_mask(length);
        out[{ip, length}] = {ip, length, failure_domain_name("d" + std::to_string(random() % 7))};
    }
    std::vector<client_block> blocks;
    blocks.reserve(out.size());
    for (const auto& it : out) {
        blocks.push_back(it.second);
    }
    return blocks;
}

std::optional<configuration> build(const std::vector<piece>& pieces)
{
    std::map<std::string, std::shared_ptr<const std::string>> objects;
    for (const auto& it : pieces) {
        objects[it.name] = std::make_shared<const std::string>(it.content);
    }
    return build_configuration(7, make_manifest(pieces),
                               [&](const manifest_entry& entry) { return objects[entry.piece]; });
}

} // namespace

class piece_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(piece_test);
    CPPUNIT_TEST(table_matches_linear_search);
    CPPUNIT_TEST(longest_matching_rule_takes_precedence);
    CPPUNIT_TEST(pieces_round_trip);
    CPPUNIT_TEST(pieces_respect_the_block_limit);
    CPPUNIT_TEST(small_edit_changes_few_pieces);
    CPPUNIT_TEST(difference_lists_changed_pieces);
    CPPUNIT_TEST(builds_a_configuration_from_pieces);
    CPPUNIT_TEST(rejects_inconsistent_pieces);
    CPPUNIT_TEST(decoders_handle_random_input);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a wrong failure domain for the first and last address of a nested block and
    // for the addresses next to it.
    void table_matches_linear_search()
    {
        auto blocks = random_blocks(21, 600);
        blocks.push_back(block("255.255.255.255/32", "last"));
        const client_block_table table(blocks);
        CPPUNIT_ASSERT_EQUAL(blocks.size(), table.size());
        std::vector<std::uint32_t> addresses;
        for (const auto& it : blocks) {
            const auto end = it.ip | ~prefix_mask(it.prefix_length);
            addresses.insert(addresses.end(), {it.ip, it.ip - 1, end, end + 1});
        }
        for (const auto ip : addresses) {
            const client_block* best = nullptr;
            for (const auto& it : blocks) {
                if ((ip & prefix_mask(it.prefix_length)) == it.ip &&
                    (best == nullptr || it.prefix_length > best->prefix_length)) {
                    best = &it;
                }
            }
            const auto* found = table.find(ip);
            CPPUNIT_ASSERT_EQUAL(best != nullptr, found != nullptr);
            CPPUNIT_ASSERT(best == nullptr || best->failure_domain == *found);
        }
        CPPUNIT_ASSERT(client_block_table().find(1) == nullptr);

        // The builder requires ascending blocks. Pieces whose names do not match their address
        // range would violate the order.
        client_block_table_builder builder;
        CPPUNIT_ASSERT(builder.add(block("10.0.0.0/8", "a")));
        CPPUNIT_ASSERT(!builder.add(block("9.0.0.0/8", "a")));
    }

    // Guards against treating an operation that must run at most once as idempotent, which would
    // allow retries of it.
    void longest_matching_rule_takes_precedence()
    {
        service value;
        value.operations = {
            {"POST", "/search", true}, {"POST", "/search/save", false}, {"GET", "/orders", false}};
        CPPUNIT_ASSERT(value.is_idempotent("POST", "/search?q=1"));
        CPPUNIT_ASSERT(value.is_idempotent("POST", "/search/new"));
        CPPUNIT_ASSERT(!value.is_idempotent("POST", "/search/save/1"));
        CPPUNIT_ASSERT(!value.is_idempotent("POST", "/searching"));
        CPPUNIT_ASSERT(!value.is_idempotent("GET", "/orders"));
        CPPUNIT_ASSERT(value.is_idempotent("GET", "/other"));
        CPPUNIT_ASSERT(value.is_idempotent("HEAD", "/"));
        CPPUNIT_ASSERT(!value.is_idempotent("PUT", "/"));
    }

    // Guards against fields that are lost between publisher and daemon, and against accepting
    // client block pieces with duplicate or out-of-range blocks.
    void pieces_round_trip()
    {
        const auto source = small_source();
        CPPUNIT_ASSERT(decode_topology(encode(source.topology)) == source.topology);
        CPPUNIT_ASSERT(decode_service(encode(source.services[0])) == source.services[0]);
        CPPUNIT_ASSERT(decode_blocks(encode(source.blocks)) == source.blocks);
        CPPUNIT_ASSERT(!decode_blocks(R"({"a":{"8":[10]},"b":{"8":[10]}})"));
        CPPUNIT_ASSERT(!decode_blocks(R"({"a":{"8":[256]}})"));
        CPPUNIT_ASSERT(!decode_blocks(R"({"a":{"8":[200,100]}})"));
        CPPUNIT_ASSERT(!decode_blocks(R"({"a":{"8":[10,0]}})"));
        CPPUNIT_ASSERT(!decode_blocks(R"({"a":{"8":[10,18446744073709551615]}})"));
        CPPUNIT_ASSERT(!decode_blocks(R"({"a":{"08":[10]}})"));
    }

    // Guards against pieces above the block limit, which daemons reject, and against lost blocks.
    void pieces_respect_the_block_limit()
    {
        auto source = small_source();
        source.blocks = random_blocks(22, 30'000);
        std::vector<client_block> all;
        for (const auto& it : make_pieces(source)) {
            if (it.name.rfind(blocks_piece_prefix, 0) == 0) {
                const auto blocks = decode_blocks(it.content);
                CPPUNIT_ASSERT(blocks && blocks->size() <= config::client_blocks_per_piece);
                all.insert(all.end(), blocks->begin(), blocks->end());
            }
        }
        std::sort(all.begin(), all.end());
        CPPUNIT_ASSERT(all == source.blocks);
    }

    // Guards against piece boundaries that depend on the number of preceding blocks: daemons would
    // then fetch nearly all blocks after each small change.
    void small_edit_changes_few_pieces()
    {
        auto source = small_source();
        source.blocks = random_blocks(23, 30'000);
        const auto before = make_manifest(make_pieces(source));
        for (std::size_t i = 0; i < 50; ++i) {
            auto edited = source;
            const auto at = edited.blocks.begin() + static_cast<std::ptrdiff_t>(i * 577);
            if (i % 2 == 0) {
                edited.blocks.erase(at);
            }
            else {
                at->failure_domain = failure_domain_name("other");
            }
            // One piece changes, or a removal merges two halves: one piece is added, two are
            // removed.
            const auto n = difference(before, make_manifest(make_pieces(edited))).size();
            CPPUNIT_ASSERT(n == 1 || n == 3);
        }
    }

    // Guards against daemons that derive a wrong manifest from the changes in a head row.
    void difference_lists_changed_pieces()
    {
        const std::string hash(64, 'a');
        const manifest from{{{"a", hash, 1}, {"b", hash, 1}, {"d", hash, 1}}};
        const manifest to{{{"a", hash, 1}, {"b", "x", 1}, {"c", hash, 2}}};
        const std::vector<piece_change> expected{{"b", "x", 1}, {"c", hash, 2}, {"d", "", 0}};
        CPPUNIT_ASSERT(difference(from, to) == expected);
        CPPUNIT_ASSERT(apply_changes(from, expected) == to);
        CPPUNIT_ASSERT(decode_manifest(encode(to)) == to);
        CPPUNIT_ASSERT(!decode_manifest(R"([["b","",1],["a","",1]])"));
    }

    // Guards against a configuration that differs from the steering files it was published from.
    void builds_a_configuration_from_pieces()
    {
        const auto source = small_source();
        const auto value = build(make_pieces(source));
        CPPUNIT_ASSERT(value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, value->version);
        CPPUNIT_ASSERT(value->topology == source.topology);
        CPPUNIT_ASSERT(*value->find(service_name("checkdesk")) == source.services[0]);
        CPPUNIT_ASSERT(value->find(service_name("other")) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), value->blocks.find(0x0a000001)->text());
    }

    // Guards against accepting undefined failure domains and mismatched or unknown pieces, on which
    // a daemon would fail later.
    void rejects_inconsistent_pieces()
    {
        const auto source = small_source();
        auto unknown_domain = source;
        unknown_domain.blocks.push_back(block("11.0.0.0/8", "nowhere"));
        CPPUNIT_ASSERT(!build(make_pieces(unknown_domain)));
        CPPUNIT_ASSERT(last_reason().find("nowhere") != std::string::npos);
        auto pieces = make_pieces(source);
        pieces.push_back({"zebra", "{}"});
        CPPUNIT_ASSERT(!build(pieces));
        pieces = make_pieces(source);
        pieces.back().name += "x";
        CPPUNIT_ASSERT(!build(pieces));
        CPPUNIT_ASSERT(!build({}));
    }

    // Guards against a crash of a daemon on a malformed piece or manifest.
    void decoders_handle_random_input()
    {
        const auto source = small_source();
        int accepted_count = 0;
        run_random_texts(
            "places piece", 31, encode(source.topology), 20'000,
            [&](const std::string& it) { accepted_count += decode_topology(it) ? 1 : 0; });
        run_random_texts(
            "service piece", 32, encode(source.services[0]), 20'000,
            [&](const std::string& it) { accepted_count += decode_service(it) ? 1 : 0; });
        run_random_texts(
            "blocks piece", 33, encode(random_blocks(34, 40)), 20'000,
            [&](const std::string& it) { accepted_count += decode_blocks(it) ? 1 : 0; });
        run_random_texts(
            "manifest", 35, encode(make_manifest(make_pieces(source))), 20'000,
            [&](const std::string& it) { accepted_count += decode_manifest(it) ? 1 : 0; });
        run_random_texts("cidr", 36, "10.20.0.0/16", 20'000,
                         [&](const std::string& it) { accepted_count += parse_cidr(it) ? 1 : 0; });
        CPPUNIT_ASSERT(accepted_count > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(piece_test);

} // namespace toucan::steering
