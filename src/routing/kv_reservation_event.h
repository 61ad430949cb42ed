/// Events of KV reservations, for logs and counters.
#pragma once

#include <cstdint>
#include <string_view>

#include "policy/ids.h"

namespace garnethook::routing {

/// A change in the tracked state of a reservation.
enum class KvReservationChange : std::uint8_t {
  reserved,          ///< A prefill was sent: its endpoint may hold state from now on.
  notReserved,       ///< The prefill provably left no state.
  transferred,       ///< A decode endpoint has fetched the state.
  prefillAbandoned,  ///< The prefill was cancelled or its response was lost: it may still leave state.
  decodeAbandoned,   ///< A decode was cancelled and may still wait for the state, so releases may skip it.
  releaseRequested,  ///< The request no longer needs the reservation.
  releaseCalled,     ///< A release call was made.
  releaseFailed,     ///< No endpoint confirmed the call; it is retried.
  releaseRepeated,   ///< The call was confirmed, but state may still appear: it is repeated later.
  releaseConfirmed,  ///< The call was confirmed, and no state can appear any more.
  releaseGivenUp,    ///< Too many calls failed: the endpoint's own timeout has to free the state.
  answerIgnored      ///< The result of a call that is not the latest one was ignored.
};
/// Returns the name of a change in logs.
std::string_view name(KvReservationChange change);

/// A change of a reservation.
struct KvReservationEvent {
  KvReservationChange change = KvReservationChange::reserved;  ///< The change.
  RequestId request;                                           ///< The request that the reservation is for.
  EndpointId endpoint;                                         ///< The endpoint of the reservation.
  std::uint64_t callNumber = 0;                                ///< Number of the release call; 0: none.
};

}  // namespace garnethook::routing
