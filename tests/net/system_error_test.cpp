#include "net/system_error.hpp"

#include <gtest/gtest.h>
#include <uv.h>

#include <cerrno>

namespace chalksail::net {
namespace {

TEST(SystemErrorTest, AcceptContinuesAfterAFailedPendingConnection) {
    for (const int error :
         {EINTR, ECONNABORTED, EPROTO, ENETDOWN, EHOSTUNREACH, ENETUNREACH, EPERM, ETIMEDOUT})
        EXPECT_EQ(meaning_of(SystemCall::accept, error), ErrorMeaning::retry_now) << error;
}

TEST(SystemErrorTest, LocalResourceShortageIsRetriedLater) {
    for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
        for (const auto call :
             {SystemCall::accept, SystemCall::socket, SystemCall::connect, SystemCall::peek})
            EXPECT_EQ(meaning_of(call, error), ErrorMeaning::resource_shortage) << error;
    }
    for (const int error : {EADDRNOTAVAIL, ENETUNREACH, EALREADY})
        EXPECT_EQ(meaning_of(SystemCall::connect, error), ErrorMeaning::resource_shortage) << error;
}

TEST(SystemErrorTest, ConnectionFailureIsAttributedToThePeer) {
    for (const int error : {ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENOTCONN})
        EXPECT_EQ(meaning_of(SystemCall::peek, error), ErrorMeaning::peer_failed) << error;
    for (const int error : {ECONNREFUSED, EHOSTUNREACH, ETIMEDOUT, ECONNRESET})
        EXPECT_EQ(meaning_of(SystemCall::connect, error), ErrorMeaning::peer_failed) << error;
}

TEST(SystemErrorTest, UnavailableInputIsNotAnError) {
    EXPECT_EQ(meaning_of(SystemCall::accept, EAGAIN), ErrorMeaning::nothing_yet);
    EXPECT_EQ(meaning_of(SystemCall::peek, EAGAIN), ErrorMeaning::nothing_yet);
    EXPECT_EQ(meaning_of(SystemCall::peek, EINTR), ErrorMeaning::retry_now);
}

TEST(SystemErrorTest, AcceptsLibuvErrorNumbers) {
    EXPECT_EQ(meaning_of(SystemCall::connect, UV_EMFILE), ErrorMeaning::resource_shortage);
    EXPECT_EQ(meaning_of(SystemCall::connect, UV_ECONNREFUSED), ErrorMeaning::peer_failed);
}

}  // namespace
}  // namespace chalksail::net
