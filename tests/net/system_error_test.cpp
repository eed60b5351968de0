#include "net/system_error.hpp"

#include <gtest/gtest.h>
#include <uv.h>

#include <cerrno>

namespace chalksail::net {
namespace {

TEST(SystemFault, ConnectionThatIsGoneBeforeItIsAcceptedIsPassedOver) {
    for (const int error :
         {EINTR, ECONNABORTED, EPROTO, ENETDOWN, EHOSTUNREACH, ENETUNREACH, EPERM, ETIMEDOUT})
        EXPECT_EQ(meaning_of(SystemCall::accept, error), FaultMeaning::again) << error;
}

TEST(SystemFault, ShortageHereIsWaitedOut) {
    for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
        for (const auto call :
             {SystemCall::accept, SystemCall::socket, SystemCall::connect, SystemCall::look})
            EXPECT_EQ(meaning_of(call, error), FaultMeaning::shortage) << error;
    }
    for (const int error : {EADDRNOTAVAIL, ENETUNREACH, EALREADY})
        EXPECT_EQ(meaning_of(SystemCall::connect, error), FaultMeaning::shortage) << error;
}

TEST(SystemFault, BreakOfTheConnectionIsThePeers) {
    for (const int error : {ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENOTCONN})
        EXPECT_EQ(meaning_of(SystemCall::look, error), FaultMeaning::peer) << error;
    for (const int error : {ECONNREFUSED, EHOSTUNREACH, ETIMEDOUT, ECONNRESET})
        EXPECT_EQ(meaning_of(SystemCall::connect, error), FaultMeaning::peer) << error;
}

TEST(SystemFault, NothingThereIsNoFault) {
    EXPECT_EQ(meaning_of(SystemCall::accept, EAGAIN), FaultMeaning::nothing_yet);
    EXPECT_EQ(meaning_of(SystemCall::look, EAGAIN), FaultMeaning::nothing_yet);
    EXPECT_EQ(meaning_of(SystemCall::look, EINTR), FaultMeaning::again);
}

TEST(SystemFault, TakesLibuvsNumbersToo) {
    EXPECT_EQ(meaning_of(SystemCall::connect, UV_EMFILE), FaultMeaning::shortage);
    EXPECT_EQ(meaning_of(SystemCall::connect, UV_ECONNREFUSED), FaultMeaning::peer);
}

}  // namespace
}  // namespace chalksail::net
