#include "net/system_error.hpp"

#include <gtest/gtest.h>
#include <uv.h>

#include <cerrno>

namespace chalksail::net {
namespace {

TEST(SystemFault, ConnectionThatEndsBeforeItIsAcceptedIsSkipped) {
    for (const int error :
         {EINTR, ECONNABORTED, EPROTO, ENETDOWN, EHOSTUNREACH, ENETUNREACH, EPERM, ETIMEDOUT})
        EXPECT_EQ(meaning_of(SystemCall::accept, error), ErrorMeaning::again) << error;
}

TEST(SystemFault, ShortageHereIsWaitedOut) {
    for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
        for (const auto call :
             {SystemCall::accept, SystemCall::socket, SystemCall::connect, SystemCall::peek})
            EXPECT_EQ(meaning_of(call, error), ErrorMeaning::shortage) << error;
    }
    for (const int error : {EADDRNOTAVAIL, ENETUNREACH, EALREADY})
        EXPECT_EQ(meaning_of(SystemCall::connect, error), ErrorMeaning::shortage) << error;
}

TEST(SystemFault, BreakOfTheConnectionIsThePeers) {
    for (const int error : {ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENOTCONN})
        EXPECT_EQ(meaning_of(SystemCall::peek, error), ErrorMeaning::peer) << error;
    for (const int error : {ECONNREFUSED, EHOSTUNREACH, ETIMEDOUT, ECONNRESET})
        EXPECT_EQ(meaning_of(SystemCall::connect, error), ErrorMeaning::peer) << error;
}

TEST(SystemFault, NothingThereIsNoFault) {
    EXPECT_EQ(meaning_of(SystemCall::accept, EAGAIN), ErrorMeaning::nothing_yet);
    EXPECT_EQ(meaning_of(SystemCall::peek, EAGAIN), ErrorMeaning::nothing_yet);
    EXPECT_EQ(meaning_of(SystemCall::peek, EINTR), ErrorMeaning::again);
}

TEST(SystemFault, AcceptsLibuvsNumbersToo) {
    EXPECT_EQ(meaning_of(SystemCall::connect, UV_EMFILE), ErrorMeaning::shortage);
    EXPECT_EQ(meaning_of(SystemCall::connect, UV_ECONNREFUSED), ErrorMeaning::peer);
}

}  // namespace
}  // namespace chalksail::net
