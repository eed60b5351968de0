#include "http/chunk_reader.hpp"

#include <algorithm>

namespace chalksail::http {
namespace {

constexpr int kMaxSizeDigits = 16;  // of a 64-bit number in hexadecimal

// Returns the value of a hexadecimal digit; -1 for any other character.
int hex_digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
}

}  // namespace

bool ChunkReader::feed(std::string_view& bytes, std::string& body) {
    while (!bytes.empty() && state_ != State::complete) {
        if (state_ == State::data) {
            on_data(bytes, body);
            continue;
        }
        const char byte = bytes.front();
        bytes.remove_prefix(1);
        if (!on_byte(byte)) return false;
    }
    return true;
}

bool ChunkReader::on_byte(char byte) {
    switch (state_) {
        case State::size: return on_size(byte);
        case State::extension: return on_extension(byte);
        case State::size_end: return on_size_end(byte);
        case State::data_cr: return on_data_cr(byte);
        case State::data_lf: return on_data_lf(byte);
        case State::trailer: return on_trailer(byte);
        case State::trailer_end: return on_trailer_end(byte);
        case State::data:
        case State::complete: break;
    }
    return false;
}

bool ChunkReader::on_size(char byte) {
    if (const int digit = hex_digit(byte); digit >= 0) {
        if (++size_digits_ > kMaxSizeDigits) return false;
        chunk_bytes_remaining_ = chunk_bytes_remaining_ * 16 + static_cast<std::uint64_t>(digit);
        return chunk_bytes_remaining_ <= limits_.chunk_bytes;
    }
    if (size_digits_ == 0) return false;
    if (byte == '\r') state_ = State::size_end;
    else if (byte == ';' || byte == ' ' || byte == '\t') state_ = State::extension;
    else return false;
    return true;
}

bool ChunkReader::on_extension(char byte) {
    if (!skip(byte)) return false;
    if (byte == '\r') state_ = State::size_end;
    return true;
}

bool ChunkReader::on_size_end(char byte) {
    if (byte != '\n') return false;
    size_digits_ = 0;
    state_ = chunk_bytes_remaining_ == 0 ? State::trailer : State::data;
    return true;
}

void ChunkReader::on_data(std::string_view& bytes, std::string& body) {
    const auto length =
        static_cast<std::size_t>(std::min<std::uint64_t>(chunk_bytes_remaining_, bytes.size()));
    body.append(bytes.substr(0, length));
    bytes.remove_prefix(length);
    chunk_bytes_remaining_ -= length;
    if (chunk_bytes_remaining_ == 0) state_ = State::data_cr;
}

bool ChunkReader::on_data_cr(char byte) {
    if (byte != '\r') return false;
    state_ = State::data_lf;
    return true;
}

bool ChunkReader::on_data_lf(char byte) {
    if (byte != '\n') return false;
    state_ = State::size;
    return true;
}

bool ChunkReader::on_trailer(char byte) {
    if (!skip(byte)) return false;
    if (byte == '\r') state_ = State::trailer_end;
    else trailer_line_empty_ = false;
    return true;
}

bool ChunkReader::on_trailer_end(char byte) {
    if (byte != '\n') return false;
    state_ = trailer_line_empty_ ? State::complete : State::trailer;
    trailer_line_empty_ = true;
    return true;
}

bool ChunkReader::skip(char byte) { return ++skipped_bytes_ <= limits_.head_bytes && byte != '\n'; }

}  // namespace chalksail::http
