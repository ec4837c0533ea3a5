#include "credit_reply_message.h"
#include "credit_request_message.h"
#include "fetch_reply_message.h"
#include "fetch_request_message.h"
#include "forward_reply_message.h"
#include "forward_request_message.h"
#include "intent_reply_message.h"
#include "intent_request_message.h"
#include "sync_reply_message.h"
#include "sync_request_message.h"
#include "toucan/rpc/encoded_size.h"

#include <capnp/message.h>
#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

namespace toucan::rpc {

namespace {

vm_id sample_id(std::uint32_t n)
{
    return {vm_address(0x7f000000U + n, 4000), incarnation(n)};
}

member_entry sample_entry(std::uint32_t n)
{
    return {sample_id(n),
            8080,
            failure_domain_name("randstad-a"),
            region_name("randstad"),
            member_state::leaving,
            7,
            9,
            {{backend_server_name("b1"), 9, 3, 1}, {backend_server_name("b2"), 5, 0, 0}},
            {{backend_server_name("b3"), incarnation(4)}}};
}

domain_summary sample_summary()
{
    return {failure_domain_name("noord-b"),
            region_name("noord"),
            123456789012345,
            sample_id(3),
            17,
            {{sample_id(4), 80}, {sample_id(5), 81}},
            {{service_name("checkdesk"), 100, 40, 2}},
            {{backend_server_name("b9"), incarnation(8)}}};
}

template <typename Schema, typename Value>
void check_round_trip(const Value& value)
{
    capnp::MallocMessageBuilder message;
    encode(value, message.initRoot<Schema>());
    CPPUNIT_ASSERT(decode(message.getRoot<Schema>().asReader()) == value);
}

} // namespace

class message_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(message_test);
    CPPUNIT_TEST(messages_round_trip);
    CPPUNIT_TEST(unrecognised_outcome_decodes_as_unknown);
    CPPUNIT_TEST(unrecognised_mode_is_rejected);
    CPPUNIT_TEST(malformed_packed_message_is_rejected);
    CPPUNIT_TEST(broken_response_in_a_reply_is_unknown);
    CPPUNIT_TEST_SUITE_END();

public:
    // A packed message that claims a size beyond the limit must not reserve memory for it. A
    // truncated packed message must not be decoded.
    void malformed_packed_message_is_rejected()
    {
        // One segment of 2^31 words.
        const kj::byte too_large[] = {0x80, 0x80};
        const kj::byte truncated[] = {0x10, 0x09, 0x01};
        for (const auto& bytes : {capnp::Data::Reader(too_large, sizeof(too_large)),
                                  capnp::Data::Reader(truncated, sizeof(truncated))}) {
            capnp::MallocMessageBuilder message;
            auto root = message.initRoot<schema::PackedSyncRequest>();
            root.setMessage(bytes);
            CPPUNIT_ASSERT_THROW(schema::decode(root.asReader()), kj::Exception);
        }
    }

    // A field that is missing in encode or decode would be lost between daemons.
    void messages_round_trip()
    {
        const std::string bytes("a\0b\xff", 4);
        check_round_trip<schema::ForwardRequest>(
            forward_request{forward_mode::resolve,
                            service_name("checkdesk"),
                            {"POST", "/x?y=1", {{"A", "b"}, {"C", ""}}, bytes},
                            milliseconds(250),
                            "10.1.2.0/24",
                            region_name("noord"),
                            region_name("zuid"),
                            "k1-x.1",
                            2,
                            42,
                            backend_server_name("b1")});
        check_round_trip<schema::ForwardRequest>(forward_request{});
        check_round_trip<schema::ForwardReply>(
            forward_reply{completed{{201, {{"A", "b"}}, bytes}}});
        check_round_trip<schema::ForwardReply>(forward_reply{not_run{"full", milliseconds(50)}});
        check_round_trip<schema::ForwardReply>(forward_reply{unknown{"gone"}});
        check_round_trip<schema::PackedSyncRequest>(
            sync_request{sample_entry(1), incarnation(5), 77, {sample_summary()}});
        check_round_trip<schema::PackedSyncReply>(
            sync_reply{sample_entry(1), 77, {sample_entry(2)}, {sample_summary()}});
        check_round_trip<schema::SyncRequest>(
            sync_request{sample_entry(1), incarnation(5), 77, {sample_summary()}});
        check_round_trip<schema::SyncReply>(sync_reply{
            sample_entry(1), 78, {sample_entry(2), sample_entry(3)}, {sample_summary(), {}}});
        check_round_trip<schema::FetchRequest>(fetch_request{true, {"aa", "bb"}});
        check_round_trip<schema::FetchReply>(fetch_reply{"head", {bytes, "", "object"}});
        check_round_trip<schema::IntentRequest>(
            intent_request{sample_id(1), sample_id(2), "k1-x.2"});
        for (const auto it :
             {intent_verdict::accepted, intent_verdict::sealed, intent_verdict::not_the_witness}) {
            check_round_trip<schema::IntentReply>(intent_reply{it});
        }
        check_round_trip<schema::CreditRequest>(
            credit_request{sample_id(1), service_name("rendeles"), failure_domain_name("alfold-a"),
                           region_name("alfold"), 6});
        check_round_trip<schema::CreditReply>(
            credit_reply{99, 4, milliseconds(2000), backend_server_name("b2")});
        CPPUNIT_ASSERT(encoded_size(sync_request{sample_entry(1), {}, 0, {}}) > 100);
    }

    // An outcome kind of another protocol version or an empty message must not decode as "not run":
    // the request may have run.
    void unrecognised_outcome_decodes_as_unknown()
    {
        capnp::MallocMessageBuilder message;
        message.initRoot<schema::ForwardReply>().setKind(9);
        const auto reply = decode(message.getRoot<schema::ForwardReply>().asReader());
        CPPUNIT_ASSERT(std::holds_alternative<unknown>(reply.result));
    }

    // A request with a forward mode of another protocol version must not be served in a wrong mode.
    void unrecognised_mode_is_rejected()
    {
        capnp::MallocMessageBuilder message;
        message.initRoot<schema::ForwardRequest>().setMode(9);
        CPPUNIT_ASSERT_THROW(decode(message.getRoot<schema::ForwardRequest>().asReader()),
                             std::invalid_argument);
    }

    // Guards against handing on a response of another daemon whose status or headers are not valid
    // HTTP: the caller would get it, or a header that ends its line early.
    void broken_response_in_a_reply_is_unknown()
    {
        const auto received = [](int status, const http_header& header) {
            capnp::MallocMessageBuilder message;
            encode(forward_reply{completed{{status, {{"A", "b"}, header}, "body"}}},
                   message.initRoot<schema::ForwardReply>());
            return decode(message.getRoot<schema::ForwardReply>().asReader());
        };
        for (const int status : {-1, 0, 99, 100, 199, 600, 1000}) {
            const auto it = received(status, {"B", "c"});
            CPPUNIT_ASSERT(std::holds_alternative<unknown>(it.result));
            CPPUNIT_ASSERT(it.fault == response_fault::status);
        }
        for (const auto& header : std::vector<http_header>{{"", "c"},
                                                           {"B C", "d"},
                                                           {"B ", "c"},
                                                           {"B\001", "c"},
                                                           {"B", "c\r\nD: e"},
                                                           {"B", "\177"}}) {
            const auto it = received(200, header);
            CPPUNIT_ASSERT_MESSAGE(header.name, std::holds_alternative<unknown>(it.result));
            CPPUNIT_ASSERT_MESSAGE(header.name, it.fault == response_fault::head);
        }
        for (const int status : {200, 599}) {
            const auto it = received(status, {"!#$%&'*+-.^_`|~", "\t\200"});
            CPPUNIT_ASSERT(std::holds_alternative<completed>(it.result) && !it.fault);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_test);

} // namespace toucan::rpc
