// The outcome of a claim of a request key.
#ifndef ZINNIAMUX_CORE_CLAIM_DECISION_H_
#define ZINNIAMUX_CORE_CLAIM_DECISION_H_

namespace zinniamux::core {

enum class ClaimDecision {
  // The request key is durably claimed by this submission id.
  kGranted,
  // The request key is claimed by another submission id.
  kDuplicate,
  // The claim could not be written in time. A resubmission with the same id may succeed later.
  kUnavailable,
};

}  // namespace zinniamux::core

#endif  // ZINNIAMUX_CORE_CLAIM_DECISION_H_
