#include "table_changes.h"

#include "packed_text.h"
#include "peer.capnp.h"

#include "toucan/base/last_reason.h"

#include <capnp/message.h>
#include <zlib.h>

#include <map>
#include <utility>

namespace toucan::edge {

namespace {

/// First byte of an encoding.
constexpr char plain_format = 0;
constexpr char compressed_format = 1;
/// Shorter messages are not worth the processor time of compression.
constexpr std::size_t min_compressed_bytes = 2048;
/// Bytes of the length that precedes compressed data.
constexpr std::size_t length_bytes = 4;
/// Longest message that is decompressed.
constexpr std::size_t max_message_bytes = 64U << 20U;

std::optional<table_result> read_changes(wire::TableChanges::Reader changes)
{
    table_result it;
    it.version = changes.getVersion();
    it.era = changes.getEra();
    it.relayed = true;
    for (const auto row : changes.getRows()) {
        const auto value = row.getValue().asChars();
        it.rows.push_back({row.getKey().cStr(), std::string(value.begin(), value.size()),
                           row.getVersion(), row.getRemoved()});
    }
    return it;
}

std::string pack(const table_result& it)
{
    capnp::MallocMessageBuilder message;
    auto changes = message.initRoot<wire::TableChanges>();
    changes.setVersion(it.version);
    changes.setEra(it.era);
    auto rows = changes.initRows(static_cast<unsigned>(it.rows.size()));
    for (unsigned n = 0; n < rows.size(); ++n) {
        const auto& row = it.rows[n];
        rows[n].setKey(row.key);
        rows[n].setValue(
            kj::arrayPtr(reinterpret_cast<const kj::byte*>(row.value.data()), row.value.size()));
        rows[n].setVersion(row.version);
        rows[n].setRemoved(row.removed);
    }
    return packed_text(message);
}

std::string length_text(std::size_t length)
{
    std::string text;
    for (std::size_t n = 0; n < length_bytes; ++n) {
        text.push_back(static_cast<char>((length >> (8 * n)) & 0xffU));
    }
    return text;
}

std::size_t read_length(std::string_view text)
{
    std::size_t length = 0;
    for (std::size_t n = 0; n < length_bytes; ++n) {
        length |= static_cast<std::size_t>(static_cast<unsigned char>(text[n])) << (8 * n);
    }
    return length;
}

std::string compress(const std::string& text)
{
    uLongf size = compressBound(text.size());
    std::string out(size, '\0');
    if (::compress2(reinterpret_cast<Bytef*>(out.data()), &size,
                    reinterpret_cast<const Bytef*>(text.data()), text.size(),
                    Z_BEST_SPEED) != Z_OK) {
        return {};
    }
    out.resize(size);
    return out;
}

std::optional<std::string> decompress(std::string_view bytes)
{
    const auto length = bytes.size() < length_bytes ? 0 : read_length(bytes);
    if (length == 0 || length > max_message_bytes) {
        return fail("table changes: invalid length of the compressed message");
    }
    bytes.remove_prefix(length_bytes);
    uLongf size = length;
    std::string out(length, '\0');
    if (::uncompress(reinterpret_cast<Bytef*>(out.data()), &size,
                     reinterpret_cast<const Bytef*>(bytes.data()), bytes.size()) != Z_OK ||
        size != length) {
        return fail("table changes: the compressed message is not valid");
    }
    return out;
}

} // namespace

std::string encode_changes(const table_result& it)
{
    auto packed = pack(it);
    if (packed.size() >= min_compressed_bytes) {
        if (const auto compressed = compress(packed); !compressed.empty()) {
            return compressed_format + length_text(packed.size()) + compressed;
        }
    }
    packed.insert(packed.begin(), plain_format);
    return packed;
}

std::optional<table_result> decode_changes(std::string_view bytes)
{
    const auto read = [](std::string_view message) {
        return read_packed<wire::TableChanges>(message, "table changes", read_changes);
    };
    if (!bytes.empty() && bytes.front() == plain_format) {
        return read(bytes.substr(1));
    }
    if (!bytes.empty() && bytes.front() == compressed_format) {
        const auto message = decompress(bytes.substr(1));
        return message ? read(*message) : std::nullopt;
    }
    return fail("table changes: unknown format");
}

void merge_changes(table_result& snapshot, const table_result& newer)
{
    std::map<std::string, table_row> rows;
    for (auto& it : snapshot.rows) {
        auto key = it.key;
        rows[std::move(key)] = std::move(it);
    }
    for (const auto& it : newer.rows) {
        if (it.removed) {
            rows.erase(it.key);
        }
        else {
            rows[it.key] = it;
        }
    }
    snapshot.rows.clear();
    for (auto& [key, row] : rows) {
        snapshot.rows.push_back(std::move(row));
    }
    snapshot.version = std::max(snapshot.version, newer.version);
}

} // namespace toucan::edge
