#include "toucan/base/manual_clock.h"
#include "toucan/operations/caller_key.h"
#include "toucan/operations/key_issuer.h"
#include "toucan/operations/operation_key.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <iostream>
#include <random>
#include <string>

namespace toucan::operations {

namespace {

const vm_id owner{{0x0a000001, 7000}, incarnation(0x65f1a2b3c4d5e6)};
const vm_id witness{{0x0a000002, 7000}, incarnation(0x65f1a2b3c4d5ff)};

} // namespace

class key_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(key_test);
    CPPUNIT_TEST(keys_round_trip);
    CPPUNIT_TEST(other_spellings_are_rejected);
    CPPUNIT_TEST(random_input_is_rejected_or_round_trips);
    CPPUNIT_TEST(prefixes_expire);
    CPPUNIT_TEST(only_issued_prefixes_are_valid);
    CPPUNIT_TEST(checkpoints_are_bounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a changed text format of keys, and against keys that `parse` does not read
    // back as they were written.
    void keys_round_trip()
    {
        const operation_key with_witness{{owner, witness, 17}, 3};
        CPPUNIT_ASSERT_EQUAL(
            std::string("k1-10.0.0.1:7000-65f1a2b3c4d5e6-10.0.0.2:7000-65f1a2b3c4d5ff-17.3"),
            with_witness.to_string());
        CPPUNIT_ASSERT(operation_key::parse(with_witness.to_string()) == with_witness);
        const operation_key without_witness{{owner, std::nullopt, 17}, 0};
        CPPUNIT_ASSERT_EQUAL(std::string("k1-10.0.0.1:7000-65f1a2b3c4d5e6-----17.0"),
                             without_witness.to_string());
        CPPUNIT_ASSERT(operation_key::parse(without_witness.to_string()) == without_witness);
        const caller_key caller_chosen{1700000000000, "order-17"};
        CPPUNIT_ASSERT(caller_key::parse(caller_chosen.to_string()) == caller_chosen);
    }

    // Guards against accepting a second spelling of a key; with it the operation would run twice.
    void other_spellings_are_rejected()
    {
        for (const auto* it : {"",
                               "k1",
                               "k1-",
                               "k1-10.0.0.1:7000-65f1-----17",
                               "k1-10.0.0.1:7000-65f1-----17.",
                               "k1-10.0.0.1:7000-65f1-----17.01",
                               "k1-10.0.0.1:7000-65f1-----017.1",
                               "k1-10.0.0.1:7000-65F1-----17.1",
                               "k1-10.0.0.01:7000-65f1-----17.1",
                               "k1-10.0.0.1:7000-065f1-----17.1",
                               "k1-10.0.0.1:7000-65f1-----17.+1",
                               "k1-10.0.0.1:7000-65f1-----17.1 ",
                               "k1-10.0.0.1:7000-65f1-10.0.0.2:7000---17.1",
                               "k1-10.0.0.1:7000-65f1-----18446744073709551616.1",
                               "K1-10.0.0.1:7000-65f1-----17.1",
                               "c1-",
                               "c1-5-",
                               "c1-05-x",
                               "c1--5-x",
                               "c1-5-a/b",
                               "c1-99999999999999999-x"}) {
            CPPUNIT_ASSERT_MESSAGE(it, !is_well_formed_key(it));
        }
        CPPUNIT_ASSERT(!is_well_formed_key("c1-5-" + std::string(129, 'x')));
    }

    // Guards against crashes and against accepted texts that `to_string` spells differently.
    void random_input_is_rejected_or_round_trips()
    {
        constexpr std::uint64_t seed = 20261204;
        constexpr int inputs = 200'000;
        std::cout << fmt::format("\nrandom keys, seed {}\n", seed);
        std::mt19937_64 random(seed);
        const std::string alphabet = "0123456789abcdfkF.:-+ \n\xff";
        const auto seed_key = operation_key{{owner, witness, 17}, 3}.to_string();
        int accepted = 0;
        for (int it = 0; it < inputs; ++it) {
            auto text = it % 3 == 0 ? operation_key{{owner, std::nullopt, 9}, 1}.to_string()
                                    : (it % 3 == 1 ? seed_key : "c1-17-abc");
            for (auto n = random() % 4; n > 0; --n) {
                const auto at = random() % (text.size() + 1);
                const char letter = alphabet[random() % alphabet.size()];
                if (random() % 2 == 0 && at < text.size()) {
                    text[at] = letter;
                }
                else if (random() % 2 == 0) {
                    text.insert(at, 1, letter);
                }
                else {
                    text.erase(at, random() % 4);
                }
            }
            if (const auto key = operation_key::parse(text)) {
                CPPUNIT_ASSERT_EQUAL(text, key->to_string());
                ++accepted;
            }
            if (const auto key = caller_key::parse(text)) {
                CPPUNIT_ASSERT_EQUAL(text, key->to_string());
                ++accepted;
            }
        }
        CPPUNIT_ASSERT(accepted > inputs / 10);
    }

    // Guards against prefixes that are still valid at an age of 300 s or already expired at 299 s.
    void prefixes_expire()
    {
        manual_clock time;
        key_issuer issuer(owner, time);
        issuer.set_witness(witness);
        const auto first = issuer.issue();
        time.advance(std::chrono::seconds(299));
        const auto second = issuer.issue();
        CPPUNIT_ASSERT(issuer.check(first) == key_validity::valid);
        time.advance(std::chrono::seconds(1));
        CPPUNIT_ASSERT(issuer.check(first) == key_validity::expired);
        CPPUNIT_ASSERT(issuer.check(second) == key_validity::valid);
        time.advance(std::chrono::hours(1));
        issuer.issue();
        CPPUNIT_ASSERT(issuer.check(first) == key_validity::expired);
        CPPUNIT_ASSERT(issuer.check(second) == key_validity::expired);
    }

    // Guards against executing keys of an earlier incarnation and forged keys: wrong issue number,
    // witness or owner incarnation.
    void only_issued_prefixes_are_valid()
    {
        manual_clock time;
        key_issuer issuer(owner, time);
        issuer.set_witness(witness);
        auto it = issuer.issue();
        it.number = 2;
        CPPUNIT_ASSERT(issuer.check(it) == key_validity::not_issued);
        it.number = 0;
        CPPUNIT_ASSERT(issuer.check(it) == key_validity::not_issued);
        it.number = 1;
        CPPUNIT_ASSERT(issuer.check(it) == key_validity::valid);
        it.witness.reset();
        CPPUNIT_ASSERT(issuer.check(it) == key_validity::not_issued);
        it.witness = witness;
        it.owner.run = incarnation(1);
        CPPUNIT_ASSERT(issuer.check(it) == key_validity::not_issued);
        issuer.exclude_witness(witness);
        issuer.set_witness(witness);
        CPPUNIT_ASSERT(!issuer.issue().witness);
    }

    // Guards against memory that grows with each change of the witness.
    void checkpoints_are_bounded()
    {
        manual_clock time;
        key_issuer issuer(owner, time);
        for (int it = 0; it < 20'000; ++it) {
            issuer.set_witness(it % 2 == 0 ? std::optional(witness) : std::nullopt);
            CPPUNIT_ASSERT(issuer.check(issuer.issue()) == key_validity::valid);
        }
        CPPUNIT_ASSERT(issuer.checkpoint_count() <= 4096);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_test);

} // namespace toucan::operations
