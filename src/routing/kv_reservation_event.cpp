#include "routing/kv_reservation_event.h"

namespace garnethook::routing {

std::string_view name(KvReservationChange change) {
  switch (change) {
    case KvReservationChange::reserved: return "reserved";
    case KvReservationChange::notReserved: return "not-reserved";
    case KvReservationChange::transferred: return "transferred";
    case KvReservationChange::prefillAbandoned: return "prefill-abandoned";
    case KvReservationChange::decodeAbandoned: return "decode-abandoned";
    case KvReservationChange::releaseRequested: return "release-requested";
    case KvReservationChange::releaseCalled: return "release-called";
    case KvReservationChange::releaseFailed: return "release-failed";
    case KvReservationChange::releaseRepeated: return "release-repeated";
    case KvReservationChange::releaseConfirmed: return "release-confirmed";
    case KvReservationChange::releaseGivenUp: return "release-given-up";
    case KvReservationChange::answerIgnored: return "answer-ignored";
  }
  return "unknown";
}

}  // namespace garnethook::routing
