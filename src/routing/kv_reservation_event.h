/// What happens to KV reservations, for logs and counters.
#pragma once

#include <cstdint>
#include <string_view>

#include "policy/ids.h"

namespace garnethook::routing {

/// A change in what is known of a reservation.
enum class KvReservationChange : std::uint8_t {
  reserved,           ///< A prefill was sent: its endpoint may hold state from now on.
  notReserved,        ///< The prefill provably left nothing.
  transferred,        ///< A decode endpoint has fetched the state.
  prefillAbandoned,   ///< The prefill was given up or its response was lost: it may still leave state.
  decodeAbandoned,    ///< A decode was given up and may still wait for the state, which releases spare.
  endpointRestarted,  ///< The endpoint was restarted after the prefill was sent: the state is gone.
  releaseRequested,   ///< The request needs the reservation no more.
  releaseCalled,      ///< A release call was made.
  releaseFailed,      ///< No endpoint confirmed the call; it is made again.
  releaseRepeated,    ///< The call was confirmed, but state may still appear: it is made again later.
  releaseConfirmed,   ///< The call was confirmed and nothing can appear any more.
  releaseGivenUp,     ///< Too many calls failed: the endpoint's own timeout has to free the state.
  answerIgnored       ///< An answer to a call that is not the latest one.
};
/// The name of a change in logs.
std::string_view name(KvReservationChange change);

/// One change.
struct KvReservationEvent {
  KvReservationChange change = KvReservationChange::reserved;  ///< What happened.
  RequestId request;                                           ///< Whose reservation.
  EndpointId endpoint;                                         ///< Where it is.
  std::uint64_t callNumber = 0;                                ///< Of a release call; 0: none.
};

}  // namespace garnethook::routing
