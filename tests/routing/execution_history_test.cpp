// Which requests may be rejected, by idempotency and by whether an attempt may have executed.
#include "routing/execution_history.h"

#include <gtest/gtest.h>

namespace garnethook::routing {
namespace {

TEST(ExecutionHistory, AllowsARejectionOnlyWhereARetryIsSafe) {
  RequestClass idempotent;
  RequestClass keyed;
  RequestClass nonIdempotent;
  keyed.idempotency = Idempotency::idempotentWithKey;
  nonIdempotent.idempotency = Idempotency::nonIdempotent;
  EXPECT_TRUE(mayReject(idempotent, {true}));
  EXPECT_TRUE(mayReject(keyed, {true}));
  keyed.deduplicationScope = DeduplicationScope::zone;
  EXPECT_FALSE(mayReject(keyed, {true}));
  EXPECT_FALSE(mayReject(nonIdempotent, {true}));
  EXPECT_TRUE(mayReject(nonIdempotent, {false}));
}

}  // namespace
}  // namespace garnethook::routing
