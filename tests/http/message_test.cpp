// The HTTP readers: any split gives the same result, limits are enforced, malformed input is rejected.
#include "http/message.hpp"

#include <gtest/gtest.h>

namespace chalksail::http {
namespace {

struct RequestResult {
    std::vector<Request> requests;
    std::optional<Fault> fault;
    int continues = 0;
};
RequestResult read(const std::string& bytes, std::size_t step, Limits limits = {}) {
    RequestResult out;
    RequestReader reader(limits);
    std::string pending;
    for (std::size_t at = 0; at < bytes.size() && !out.fault; at += step) {
        pending += bytes.substr(at, step);
        for (bool more = true; more && !pending.empty();) {
            std::string_view remaining = pending;
            auto progress = reader.feed(remaining);
            pending.erase(0, pending.size() - remaining.size());
            more = false;
            if (auto* r = std::get_if<Request>(&progress)) {
                out.requests.push_back(std::move(*r));
                more = true;
            } else if (auto* f = std::get_if<Fault>(&progress)) {
                out.fault = *f;
            } else if (std::get<RequestReader::NeedMore>(progress).send_continue) {
                out.continues += 1;
            }
        }
    }
    return out;
}

const std::string kPipelinedRequests =
    "POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: a\r\nX-Two:  b c \r\nContent-Length: 5\r\n\r\nhello"
    "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
    "chunked\r\n\r\n3\r\nabc\r\n2;e=1\r\nde\r\n0\r\nTrailer: t\r\n\r\n"
    "GET /c HTTP/1.0\r\n\r\n";

TEST(HttpRequest, AnySplitGivesTheSamePipelinedRequests) {
    for (std::size_t step = 1; step < kPipelinedRequests.size() + 1; ++step) {
        const auto out = read(kPipelinedRequests, step);
        ASSERT_FALSE(out.fault) << step << out.fault->text;
        ASSERT_EQ(out.requests.size(), 3U) << step;
        EXPECT_EQ(out.requests[0].path(), "/v1/chat/completions");
        EXPECT_EQ(out.requests[0].body, "hello");
        EXPECT_EQ(out.requests[0].headers.get("x-two"), "b c");
        EXPECT_EQ(out.requests[1].body, "abcde");
        EXPECT_TRUE(out.requests[1].keep_alive);
        EXPECT_FALSE(out.requests[2].keep_alive);
    }
}

TEST(HttpRequest, ExpectContinueIsReportedOnce) {
    const auto out = read("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok", 1);
    EXPECT_EQ(out.continues, 1);
    EXPECT_EQ(out.requests.at(0).body, "ok");
    EXPECT_EQ(read("POST / HTTP/1.1\r\nExpect: magic\r\nContent-Length: 2\r\n\r\nok", 9).fault->status, 417);
}

TEST(HttpRequest, LimitsAreEnforced) {
    const Limits limits{200, 10};
    EXPECT_EQ(read("GET /" + std::string(1000, 'a') + " HTTP/1.1\r\n\r\n", 7, limits).fault->status, 431);
    EXPECT_EQ(read("GET / HTTP/1.1\r\nA: " + std::string(1000, 'a') + "\r\n\r\n", 7, limits).fault->status,
              431);
    EXPECT_EQ(read("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", 7, limits).fault->status, 413);
    EXPECT_EQ(read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n", 7, limits)
                  .fault->status,
              413);
}

TEST(HttpRequest, MalformedRequestsAreFaults) {
    for (const std::string bad :
         {"\x16\x03\x01", "GET\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "GET / HTTP/3.9\r\n\r\n",
          "GET / HTTP/1.1\r\n:x\r\n\r\n"})
        EXPECT_TRUE(read(bad, 3).fault) << bad;
}

struct ResponseResult {
    int status = 0;
    std::string body;
    bool ended = false;
    bool keep_alive = false;
    std::optional<Fault> fault;
};
ResponseResult read_response(const std::string& bytes, std::size_t step, bool close = false,
                             Limits limits = {}) {
    ResponseResult out;
    ResponseReader reader(limits);
    const auto take = [&](std::vector<ResponsePart> parts) {
        for (auto& p : parts) {
            if (auto* h = std::get_if<ResponseHead>(&p)) out.status = h->status;
            if (auto* b = std::get_if<ResponseBodyPart>(&p)) out.body += b->bytes;
            if (auto* e = std::get_if<ResponseEnd>(&p)) {
                out.ended = true;
                out.keep_alive = e->keep_alive;
            }
            if (auto* f = std::get_if<Fault>(&p)) out.fault = *f;
        }
    };
    for (std::size_t at = 0; at < bytes.size() && !out.fault; at += step)
        take(reader.feed(std::string_view(bytes).substr(at, step)));
    if (close && !out.fault) take(reader.close());
    return out;
}

TEST(HttpResponse, AnySplitGivesTheSameResponse) {
    const std::string text =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: "
        "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (std::size_t step = 1; step < text.size() + 1; ++step) {
        const auto out = read_response(text, step);
        EXPECT_EQ(out.status, 200);
        EXPECT_EQ(out.body, "abcde");
        EXPECT_TRUE(out.ended && out.keep_alive) << step;
    }
}

TEST(HttpResponse, EndOfTheResponseIsDetected) {
    EXPECT_TRUE(read_response("HTTP/1.1 200 OK\r\n\r\nuntil the close", 5, true).ended);
    EXPECT_FALSE(read_response("HTTP/1.1 200 OK\r\n\r\nuntil the close", 5, true).keep_alive);
    EXPECT_TRUE(read_response("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 5, true).fault);
    EXPECT_TRUE(read_response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nha", 5, true)
                    .fault);  // incomplete chunk
    EXPECT_TRUE(read_response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", 5)
                    .fault);  // invalid chunk size
    EXPECT_TRUE(read_response("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", 99).keep_alive);
    EXPECT_FALSE(read_response("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nagarbage", 99)
                     .keep_alive);  // bytes after the response
    EXPECT_TRUE(read_response("220 smtp.example\r\n", 4).fault);
}

TEST(HttpResponse, EndlessHeadIsRejectedAtTheLimit) {
    Limits limits{1000, 0};
    ResponseReader reader(limits);
    (void)reader.feed("HTTP/1.1 200 OK\r\nA: ");
    std::size_t fed = 0;
    const std::string part(100, 'a');
    for (bool fault = false; !fault; fed += part.size()) {
        ASSERT_LT(fed, 2000U);
        for (const auto& p : reader.feed(part)) fault = fault || std::holds_alternative<Fault>(p);
    }
}

TEST(HttpWrite, LineBreaksInHeaderValuesAreReplaced) {
    Headers headers;
    headers.add("X", "a\r\nSet-Cookie: b");
    EXPECT_EQ(format_response_head(200, headers), "HTTP/1.1 200 OK\r\nX: a  Set-Cookie: b\r\n\r\n");
}

// http-parser, as Debian builds it, takes data beyond a chunk's stated size for another chunk, and waits for
// more of it.
TEST(Chunks, AreReadStrictlyInAnySplit) {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto read = [&](const std::string& text, std::size_t step) {
        ResponseReader reader({1000, 0, 100});
        std::string out;
        for (std::size_t at = 0; at < text.size(); at += step)
            for (const auto& piece : reader.feed(std::string_view(text).substr(at, step))) {
                if (const auto* body = std::get_if<ResponseBodyPart>(&piece)) out += body->bytes;
                if (std::holds_alternative<ResponseEnd>(piece)) out += "|end";
                if (std::holds_alternative<Fault>(piece)) return out + "|fault";
            }
        return out;
    };
    for (std::size_t step = 1; step < 70; ++step) {
        EXPECT_EQ(read(head + "3;x=y\r\nabc\r\n02 \r\nde\r\n0\r\nT: 1\r\n\r\n", step), "abcde|end") << step;
        for (const std::string bad : {"3\r\nabcdef\r\n", "zz\r\n", "\r\n", "-1\r\n", "65\r\n", "3\nabc",
                                      "3\r\nabc\n0", "C0000000\r\n", "00000000000000000001\r\n"}) {
            const auto got = read(head + bad, step);
            EXPECT_TRUE(got.ends_with("|fault")) << bad << " in steps of " << step << ": " << got;
        }
    }
}

// Guards against heads that take much more memory than their bytes: each field is stored in two strings.
TEST(RequestReader, HeadWithTooManyFieldsIsRejected) {
    Limits limits;
    for (const std::size_t fields : {limits.header_fields, limits.header_fields + 1}) {
        std::string head = "GET / HTTP/1.1\r\n";
        for (std::size_t i = 0; i < fields; ++i) head += "a:\r\n";
        head += "\r\n";
        RequestReader reader(limits);
        std::string_view bytes = head;
        const auto progress = reader.feed(bytes);
        if (fields <= limits.header_fields) {
            EXPECT_TRUE(std::holds_alternative<Request>(progress));
        } else {
            ASSERT_TRUE(std::holds_alternative<Fault>(progress));
            EXPECT_EQ(std::get<Fault>(progress).status, 431);
        }
    }
}

TEST(RequestReader, SeparatorsOfFieldsCountTowardsTheSizeOfTheHead) {
    Limits limits;
    limits.head_bytes = 50;
    RequestReader reader(limits);
    std::string_view bytes =
        "GET / "
        "HTTP/1.1\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\na:\r\n\r\n";
    ASSERT_TRUE(std::holds_alternative<Fault>(reader.feed(bytes)));
}

// Guards against a server that sends informational responses without end: each was skipped, at the cost of
// the processor, until the attempt's time was over.
TEST(ResponseReader, InformationalResponsesWithoutEndAreAFault) {
    const std::string informational = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string final_response = "HTTP/1.1 204 No Content\r\n\r\n";
    std::string some;
    for (int i = 0; i < 10; ++i) some += informational;
    ResponseReader patient(Limits{});
    EXPECT_TRUE(std::holds_alternative<ResponseHead>(patient.feed(some + final_response).at(0)));
    ResponseReader reader(Limits{});
    std::vector<ResponsePart> parts;
    for (int i = 0; i < 100 && parts.empty(); ++i) parts = reader.feed(some);
    ASSERT_EQ(parts.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<Fault>(parts[0]));
}

TEST(ResponseReader, HeadWithTooManyFieldsIsAFault) {
    Limits limits;
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (std::size_t i = 0; i <= limits.header_fields; ++i) head += "a:\r\n";
    ResponseReader reader(limits);
    const auto parts = reader.feed(head);
    ASSERT_EQ(parts.size(), 1U);
    ASSERT_TRUE(std::holds_alternative<Fault>(parts[0]));
    EXPECT_EQ(std::get<Fault>(parts[0]).status, 502);
}

}  // namespace
}  // namespace chalksail::http
