#include "request_path_fixture.h"

#include "toucan/base/stable_hash.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <string>
#include <vector>

namespace toucan::edge {

using namespace std::string_literals;

/// Backend servers whose responses are not valid HTTP. Callers must get an answer of the daemon
/// instead, and sound responses must still arrive unchanged.
class broken_response_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(broken_response_test);
    CPPUNIT_TEST(invalid_status_is_not_forwarded);
    CPPUNIT_TEST(every_valid_status_is_forwarded);
    CPPUNIT_TEST(undecoded_body_is_not_forwarded);
    CPPUNIT_TEST(chunked_body_is_forwarded);
    CPPUNIT_TEST(broken_interim_response_is_not_skipped);
    CPPUNIT_TEST(body_of_a_status_without_body_is_no_response);
    CPPUNIT_TEST(statuses_without_body_are_forwarded);
    CPPUNIT_TEST(sound_interim_responses_are_skipped);
    CPPUNIT_TEST(fields_behind_the_last_chunk_are_not_used);
    CPPUNIT_TEST(broken_fields_behind_the_last_chunk_are_rejected);
    CPPUNIT_TEST(invalid_field_name_is_not_forwarded);
    CPPUNIT_TEST(invalid_field_value_is_not_forwarded);
    CPPUNIT_TEST(every_valid_field_is_forwarded);
    CPPUNIT_TEST(repeated_equal_lengths_are_one_length);
    CPPUNIT_TEST(contradictory_lengths_are_rejected);
    CPPUNIT_TEST(response_that_ends_early_is_counted);
    CPPUNIT_TEST(nothing_in_a_broken_response_is_believed);
    CPPUNIT_TEST(contradictory_response_proves_nothing);
    CPPUNIT_TEST_SUITE_END();

    using reaction = scripted_backend::reaction;

    static void replace(std::string& text, const std::string& from, const std::string& to)
    {
        text.replace(text.find(from), from.size(), to);
    }

    /// Sends a request and returns the response, which has no body if the method is HEAD.
    static http_response exchange(request_path_fixture& fixture, const std::string& method,
                                  const std::string& request)
    {
        auto& caller = fixture.connect();
        caller.expect(method);
        caller.send(request);
        CPPUNIT_ASSERT(fixture.run_until([&] { return caller.responses().size() == 1; }));
        return caller.responses().front().response;
    }

    /// Inserts a line between the fields of a response.
    static void insert_line(std::string& bytes, const std::string& line)
    {
        replace(bytes, "Content-Length", line + "\r\nContent-Length");
    }

    /// Broken responses of backend servers that were counted.
    static std::uint64_t count_of(request_path_fixture& fixture, const std::string& fault)
    {
        return fixture.all_metrics().count("toucan_edge_broken_responses_total{from=\"backend\","
                                           "fault=\"" +
                                           fault + "\"}");
    }

    /// Checks that a broken response to a non-idempotent request becomes a 502, which says nothing
    /// about whether the request has run, and that the request is sent to no other server.
    /// @param change turns the sound response into the broken one.
    /// @param fault the name under which the response must be counted.
    static void check_unknown_outcome(const std::string& what, const std::string& fault,
                                      const std::function<void(std::string&)>& change)
    {
        request_path_fixture fixture;
        const auto script = [&](const parsed_request& it) {
            auto bytes = fixture.signed_response(it);
            change(bytes);
            return reaction{bytes, {}, false};
        };
        const auto& first = fixture.add_backend("b1", script);
        const auto& second = fixture.add_backend("b2", script);
        fixture.configure();
        const auto answer = fixture.exchange(fixture.post("/write/x", "id-1"));
        CPPUNIT_ASSERT_MESSAGE(what, answer);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 502, answer->response.status);
        CPPUNIT_ASSERT_MESSAGE(what, answer->response.body.empty());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{1},
                                     first.requests().size() + second.requests().size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::uint64_t{1}, count_of(fixture, fault));
    }

    /// Checks that an idempotent request is answered by another server after a broken response.
    static void check_answered_by_another(const std::string& what,
                                          const std::function<void(std::string&)>& change)
    {
        request_path_fixture fixture;
        fixture.add_backend("b1", [&](const parsed_request& it) {
            auto bytes = fixture.signed_response(it);
            if (it.request.path != "/read/warm") {
                change(bytes);
            }
            return reaction{bytes, {}, false};
        });
        fixture.add_backend("b2", [&](const parsed_request& it) {
            return reaction{fixture.signed_response(it), {}, false};
        });
        fixture.configure();
        for (int n = 0; n < 30; ++n) { // earns retry allowance
            fixture.exchange(fixture.get("/read/warm", "warm-" + std::to_string(n)));
        }
        for (int n = 0; n < 3; ++n) {
            const auto answer = fixture.exchange(fixture.get("/read/x", "id-" + std::to_string(n)));
            CPPUNIT_ASSERT_MESSAGE(what, answer);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, 200, answer->response.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string("done"), answer->response.body);
        }
    }

    static void check_rejected(const std::string& what, const std::string& fault,
                               const std::function<void(std::string&)>& change)
    {
        check_unknown_outcome(what, fault, change);
        check_answered_by_another(what, change);
    }

    /// Checks that a response arrives with its status, signature and body, and returns it.
    static http_response check_forwarded(const std::string& what,
                                         const std::function<void(std::string&)>& change,
                                         int status = 200)
    {
        request_path_fixture fixture;
        fixture.add_backend("b1", [&](const parsed_request& it) {
            auto bytes = fixture.signed_response(it);
            change(bytes);
            return reaction{bytes, {}, false};
        });
        fixture.configure();
        const auto answer = fixture.exchange(fixture.post("/write/x", "id-1"));
        CPPUNIT_ASSERT_MESSAGE(what, answer);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, status, answer->response.status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string("done"), answer->response.body);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            what, std::string("s1"),
            std::string(find_header(answer->response.headers, fixture.names().signature)));
        return answer->response;
    }

public:
    // Guards against forwarding a response whose status is no status code of HTTP, such as 000:
    // callers would take it as the answer to their request.
    void invalid_status_is_not_forwarded()
    {
        for (const std::string status : {"000", "001", "099", "600", "999", "20", "2000", "2x0",
                                         "-20", "+20", " 200", "", "0x1"}) {
            check_rejected("status " + status, "status",
                           [&](std::string& bytes) { replace(bytes, "200 OK", status + " Text"); });
        }
    }

    // Guards against a check that also rejects status codes that are valid but not registered.
    void every_valid_status_is_forwarded()
    {
        for (const int status :
             {200, 201, 226, 299, 300, 302, 399, 400, 404, 418, 451, 499, 500, 501, 505, 599}) {
            check_forwarded(
                "status " + std::to_string(status),
                [&](std::string& bytes) {
                    replace(bytes, "200 OK", std::to_string(status) + " Text");
                },
                status);
        }
    }

    // Guards against forwarding bytes as the body that are not the body: those of a transfer coding
    // that the daemon does not decode and whose name it does not forward.
    void undecoded_body_is_not_forwarded()
    {
        for (const std::string coding :
             {"gzip", "identity", "xchunked", "chunked;x=y", "", ",", "chunked gzip"}) {
            check_rejected("coding " + coding, "framing", [&](std::string& bytes) {
                replace(bytes, "Content-Length",
                        "Transfer-Encoding: " + coding + "\r\nContent-Length");
            });
        }
        for (const std::string coding : {"gzip, chunked", "chunked, chunked", "chunked, gzip",
                                         "gzip\r\nTransfer-Encoding: chunked"}) {
            check_rejected("coding " + coding, "framing", [&](std::string& bytes) {
                replace(bytes, "Content-Length: 4\r\n\r\ndone",
                        "Transfer-Encoding: " + coding + "\r\n\r\n4\r\ndone\r\n0\r\n\r\n");
            });
        }
        check_rejected("chunked in HTTP/1.0", "framing", [&](std::string& bytes) {
            replace(bytes, "HTTP/1.1", "HTTP/1.0");
            replace(bytes, "Content-Length: 4\r\n\r\ndone",
                    "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n");
        });
    }

    // Guards against a check that also rejects sound chunked bodies.
    void chunked_body_is_forwarded()
    {
        for (const std::string coding : {"chunked", "CHUNKED", ", chunked ,"}) {
            for (const std::string body :
                 {"4\r\ndone\r\n0\r\n\r\n", "2\r\ndo\r\n02\r\nne\r\n000\r\n\r\n",
                  "4;a=b;c=\"d\";e\r\ndone\r\n0;f\r\n\r\n"}) {
                const auto rest = fmt::format("Transfer-Encoding: {}\r\n\r\n{}", coding, body);
                check_forwarded(rest, [&](std::string& bytes) {
                    replace(bytes, "Content-Length: 4\r\n\r\ndone", rest);
                });
            }
        }
    }

    // Guards against taking what follows a broken interim response for the response: it may be the
    // body of the interim one, or no HTTP at all after a switch of protocols.
    void broken_interim_response_is_not_skipped()
    {
        const std::vector<std::pair<std::string, std::string>> broken = {
            {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade", "interim"},
            {"HTTP/1.1 101 Switching Protocols", "interim"},
            {"HTTP/1.1 100 Continue\r\nContent-Length: 120", "framing"},
            {"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked", "framing"},
            {"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: gzip", "framing"},
            {"HTTP/1.1 103 Early Hints\r\nLink : </a>", "head"},
            {"HTTP/1.1 103 Early Hints\r\nA\001B: 1", "head"},
            {"HTTP/1.1 100 Continue\r\nContent-Length: -1", "framing"},
            {"HTTP/1.1 000 Continue", "status"},
            {"HTTP/1.1 10 Continue", "status"},
        };
        for (const auto& [head, fault] : broken) {
            check_rejected(head, fault, [&, &head = head](std::string& bytes) {
                bytes.insert(0, head + "\r\n\r\n");
            });
        }
    }

    // Guards against forwarding a success without its body, and against reading that body as the
    // response to the next request of the connection.
    void body_of_a_status_without_body_is_no_response()
    {
        check_rejected("204 with a length", "framing",
                       [](std::string& bytes) { replace(bytes, "200 OK", "204 No Content"); });
        check_rejected("204 with a coding", "framing", [](std::string& bytes) {
            replace(bytes, "200 OK", "204 No Content");
            replace(bytes, "Content-Length: 4\r\n\r\ndone",
                    "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n");
        });
    }

    // Guards against a check that also rejects responses whose status or request excludes a body.
    // Those to HEAD and 304 may have the length and the coding that the body would have.
    void statuses_without_body_are_forwarded()
    {
        const std::vector<std::pair<std::string, std::string>> sound = {
            {"GET", "204 No Content\r\n"},
            {"GET", "204 No Content\r\nContent-Length: 0\r\n"},
            {"GET", "304 Not Modified\r\nContent-Length: 4\r\n"},
            {"GET", "304 Not Modified\r\nTransfer-Encoding: gzip, chunked\r\n"},
            {"HEAD", "200 OK\r\nContent-Length: 4\r\n"},
            {"HEAD", "200 OK\r\nTransfer-Encoding: gzip, chunked\r\n"},
            {"HEAD", "200 OK\r\n"},
        };
        for (const auto& [method, head] : sound) {
            request_path_fixture fixture;
            fixture.add_backend("b1", [&, &head = head](const parsed_request& it) {
                auto bytes = fixture.signed_response(it);
                replace(bytes, "200 OK\r\n", head);
                bytes.erase(bytes.find("Content-Length: 4\r\n\r\ndone"));
                return reaction{bytes + "\r\n", {}, false};
            });
            fixture.configure();
            auto request = fixture.get("/read/x", "id-1");
            replace(request, "GET", method);
            const auto answer = exchange(fixture, method, request);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head, head.substr(0, 3), std::to_string(answer.status));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                head, std::string("s1"),
                std::string(find_header(answer.headers, fixture.names().signature)));
            CPPUNIT_ASSERT_MESSAGE(head, answer.body.empty());
        }
    }

    // Guards against checks that also reject sound interim responses, and against forwarding their
    // fields.
    void sound_interim_responses_are_skipped()
    {
        const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nX-Empty:\r\n\r\n";
        std::string eight;
        for (int n = 0; n < 8; ++n) {
            eight += hints;
        }
        for (const auto& interim :
             {std::string("HTTP/1.1 100 Continue\r\n\r\n"), std::string("HTTP/1.1 199 \r\n\r\n"),
              std::string("HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n"), hints, eight}) {
            const auto answer =
                check_forwarded(interim, [&](std::string& bytes) { bytes.insert(0, interim); });
            CPPUNIT_ASSERT(find_header(answer.headers, "Link").empty());
        }
    }

    /// Turns a response into a chunked one with a line behind its last chunk.
    static void add_trailer(std::string& bytes, const std::string& line)
    {
        replace(bytes, "Content-Length: 4\r\n\r\ndone",
                "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n" + line + "\r\n\r\n");
    }

    // Guards against using fields behind the last chunk as fields of the head (RFC 9110, 6.5.1): a
    // request that has run would count as refused and run again, and a 2xx without a signature as
    // signed.
    void fields_behind_the_last_chunk_are_not_used()
    {
        const wire_names names;
        for (const std::string& line :
             {"X-After: 1"s, names.not_run + ": 1", names.leaving + ": 1", names.rate_limit + ": 1",
              names.attempt_id + ": other", names.signature + ": s2", "Set-Cookie: a=b"s}) {
            const auto answer =
                check_forwarded(line, [&](std::string& bytes) { add_trailer(bytes, line); });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(line, std::size_t{2}, answer.headers.size());
        }
        check_rejected("signature behind the last chunk", "unproven", [&](std::string& bytes) {
            replace(bytes, names.signature + ": s1\r\n", "");
            add_trailer(bytes, names.signature + ": s1");
        });
    }

    // Guards against forwarding a body whose end is not sound.
    void broken_fields_behind_the_last_chunk_are_rejected()
    {
        for (const std::string& line : {"X After: 1"s, "X-After : 1"s, "X\001After: 1"s, ": 1"s,
                                        "X-After"s, "X-After: \001"s, "X-After: a\0b"s}) {
            check_rejected(line, "head", [&](std::string& bytes) { add_trailer(bytes, line); });
        }
        for (const std::string& line : {"Content-Length: 4"s, "Transfer-Encoding: chunked"s}) {
            check_rejected(line, "framing", [&](std::string& bytes) { add_trailer(bytes, line); });
        }
    }

    // Guards against forwarding a line whose name holds a blank, a control byte or another byte
    // that is no part of a token, and against a body that ends elsewhere because such a line was
    // not taken for the length.
    void invalid_field_name_is_not_forwarded()
    {
        for (const std::string& line : {"X Y: 1"s,
                                        "X : 1"s,
                                        " X: 1"s,
                                        "\tX: 1"s,
                                        "X\t: 1"s,
                                        "X\tY: 1"s,
                                        "X\001Y: 1"s,
                                        "X\0Y: 1"s,
                                        "X\037: 1"s,
                                        "X\177: 1"s,
                                        "X\200: 1"s,
                                        "X\377Y: 1"s,
                                        "X\rY: 1"s,
                                        "X\nY: 1"s,
                                        ": 1"s,
                                        " : 1"s,
                                        "X"s,
                                        "X Y"s,
                                        "(X): 1"s,
                                        "X/Y: 1"s,
                                        "\"X\": 1"s,
                                        "X[0]: 1"s,
                                        "X@: 1"s,
                                        "X{: 1"s,
                                        "Content-Length : 2"s,
                                        "Content Length: 2"s,
                                        "Transfer-Encoding : chunked"s}) {
            check_rejected("line " + line, "head",
                           [&](std::string& bytes) { insert_line(bytes, line); });
        }
        check_rejected("blank in the name of the length", "head", [](std::string& bytes) {
            replace(bytes, "Content-Length: 4", "Content-Length : 4");
        });
    }

    // Guards against forwarding a value with a control byte, which could end a line early.
    void invalid_field_value_is_not_forwarded()
    {
        for (const std::string& line : {"X: a\0b"s, "X: a\001"s, "X: \033[0m"s, "X: a\177"s,
                                        "X: a\rb"s, "X: a\nY: b"s, "X: a\r\n b"s, "X:\r\n\ta"s}) {
            check_rejected("line " + line, "head",
                           [&](std::string& bytes) { insert_line(bytes, line); });
        }
    }

    // Guards against checks that also reject or change fields that are allowed.
    void every_valid_field_is_forwarded()
    {
        const std::vector<http_header> sound = {
            {"!#$%&'*+-.^_`|~09azAZ", "1"},
            {"x", ""},
            {"X-Tab", "a\tb"},
            {"X-Bytes", "\200\351\377"},
            {"X-Symbols", "\"(),/:;<=>?@[\\]{}\""},
            {"X-Long", std::string(8000, 'v')},
            {std::string(200, 'n'), "1"},
        };
        const auto answer = check_forwarded("sound fields", [&](std::string& bytes) {
            for (const auto& it : sound) {
                insert_line(bytes, it.name + ": " + it.value);
            }
            insert_line(bytes, "X-Blanks: \t a b \t ");
        });
        for (const auto& it : sound) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.value,
                                         std::string(find_header(answer.headers, it.name)));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("a b"),
                             std::string(find_header(answer.headers, "X-Blanks")));
        for (const std::string line :
             {"HTTP/1.1 200 ", "HTTP/1.1 200 \351t\351\t(x)", "HTTP/1.0 200 OK"}) {
            check_forwarded(line,
                            [&](std::string& bytes) { replace(bytes, "HTTP/1.1 200 OK", line); });
        }
    }

    // Guards against rejecting a length that is only named again, and against forwarding the list
    // of lengths of a response to HEAD, which callers may not understand.
    void repeated_equal_lengths_are_one_length()
    {
        for (const std::string lengths : {"4, 4", "4\r\nContent-Length: 4", "0004"}) {
            check_forwarded(lengths, [&](std::string& bytes) {
                replace(bytes, "Content-Length: 4", "Content-Length: " + lengths);
            });
            request_path_fixture fixture;
            fixture.add_backend("b1", [&](const parsed_request& it) {
                auto bytes = fixture.signed_response(it);
                replace(bytes, "Content-Length: 4\r\n\r\ndone",
                        "Content-Length: " + lengths + "\r\n\r\n");
                return reaction{bytes, {}, false};
            });
            fixture.configure();
            auto request = fixture.get("/read/x", "id-1");
            replace(request, "GET", "HEAD");
            const auto answer = exchange(fixture, "HEAD", request);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(lengths, 200, answer.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                lengths, std::string("4"),
                std::string(find_header(answer.headers, "Content-Length")));
        }
    }

    // Guards against a body that ends where the server did not mean it to end.
    void contradictory_lengths_are_rejected()
    {
        for (const std::string lengths :
             {"4, 5", "4\r\nContent-Length: 5", "+4", "-4", "0x4", "4 4", "4,", "", "\"4\"", "4.0",
              "18446744073709551620", "4\r\nTransfer-Encoding: chunked"}) {
            check_rejected("length " + lengths, "framing", [&](std::string& bytes) {
                replace(bytes, "Content-Length: 4", "Content-Length: " + lengths);
            });
        }
        for (const std::string body :
             {"4 \r\ndone\r\n0\r\n\r\n", "4 x\r\ndone\r\n0\r\n\r\n", "+4\r\ndone\r\n0\r\n\r\n",
              "0x4\r\ndone\r\n0\r\n\r\n", "4\ndone\r\n0\r\n\r\n", "4\r\ndone\n0\r\n\r\n",
              "3\r\ndone\r\n0\r\n\r\n", "\r\ndone\r\n0\r\n\r\n", "4\r\ndone\r\n0x\r\n\r\n",
              "10000000000000004\r\ndone\r\n0\r\n\r\n"}) {
            check_rejected("chunks " + body, "framing", [&](std::string& bytes) {
                replace(bytes, "Content-Length: 4\r\n\r\ndone",
                        "Transfer-Encoding: chunked\r\n\r\n" + body);
            });
        }
    }

    // Guards against a response that ends early being told from a missing one nowhere.
    void response_that_ends_early_is_counted()
    {
        for (const std::size_t missing : {1U, 4U, 6U, 100U}) {
            request_path_fixture fixture;
            fixture.add_backend("b1", [&](const parsed_request& it) {
                auto bytes = fixture.signed_response(it);
                bytes.resize(bytes.size() - std::min(bytes.size(), missing));
                return reaction{bytes, {}, true};
            });
            fixture.configure();
            const auto answer = fixture.exchange(fixture.post("/write/x", "id-1"));
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT_EQUAL(502, answer->response.status);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{missing < 100 ? 1U : 0U},
                                 count_of(fixture, "early_end"));
        }
    }

    // Guards against believing what a response that is not used says of its server: that it leaves,
    // wants a pause, limits its rate or is full.
    void nothing_in_a_broken_response_is_believed()
    {
        const wire_names names;
        using change = std::function<void(std::string&)>;
        const std::vector<std::pair<std::string, change>> broken = {
            {"status",
             [](std::string& bytes) {
                 replace(bytes, "200 OK", "000 OK");
             }},
            {"head",
             [](std::string& bytes) {
                 replace(bytes, "200 OK", "503 No");
                 insert_line(bytes, "X Y: 1");
             }},
            {"framing",
             [](std::string& bytes) {
                 insert_line(bytes, "Transfer-Encoding: gzip");
             }},
            {"early_end",
             [](std::string& bytes) {
                 bytes.pop_back();
             }},
            {"unproven",
             [&](std::string& bytes) {
                 replace(bytes, names.signature + ": s1\r\n", "");
             }},
            {"unproven",
             [&](std::string& bytes) {
                 insert_line(bytes, names.not_run + ": 1");
             }},
        };
        for (const auto& [fault, make_broken] : broken) {
            request_path_fixture fixture;
            fixture.add_backend("b1", [&, &make_broken = make_broken](const parsed_request& it) {
                auto bytes = fixture.signed_response(it);
                insert_line(bytes, names.leaving + ": 1");
                insert_line(bytes, names.rate_limit + ": 1");
                insert_line(bytes, names.load + ": 40,0,4");
                insert_line(bytes, names.back_off + ": 5");
                make_broken(bytes);
                return reaction{bytes, {}, true};
            });
            fixture.configure();
            const auto answer = fixture.exchange(fixture.post("/write/x", "id-1"));
            CPPUNIT_ASSERT_MESSAGE(fault, answer);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fault, 502, answer->response.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fault, std::uint64_t{1}, count_of(fixture, fault));
            const auto server = fixture.servers().find(short_hash("b1"));
            CPPUNIT_ASSERT_MESSAGE(fault, !server->leaving());
            CPPUNIT_ASSERT_MESSAGE(fault, !server->rate.limit());
            CPPUNIT_ASSERT_MESSAGE(fault, server->back_off_until == steady_time());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fault, 0.0, fixture.servers().load(*server));
        }
    }

    // Guards against a second run of a request that has run: a response that contradicts itself
    // proves neither success nor refusal.
    void contradictory_response_proves_nothing()
    {
        const wire_names names;
        check_unknown_outcome("success that says not run", "unproven", [&](std::string& bytes) {
            insert_line(bytes, names.not_run + ": 1");
        });
        check_unknown_outcome("success with two ids", "unproven", [&](std::string& bytes) {
            insert_line(bytes, names.attempt_id + ": other");
        });
        check_unknown_outcome("refusal with two ids", "unproven", [&](std::string& bytes) {
            replace(bytes, "200 OK", "503 No");
            insert_line(bytes, names.not_run + ": 1");
            insert_line(bytes, names.attempt_id + ": other");
        });
        check_forwarded("same id twice", [&](std::string& bytes) {
            insert_line(bytes, names.attempt_id + ": id-1");
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_response_test);

} // namespace toucan::edge
