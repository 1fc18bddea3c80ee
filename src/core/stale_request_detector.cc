// Pauses between requests, and the time after a silence.
#include "core/stale_request_detector.h"

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace zinniamux::core {

using std::chrono::milliseconds;

namespace {

// A pause this many times as long as the usual one is a silence.
constexpr int kSilenceFactor = 2;
// Where longer pauses than this many times the shortest silence are usual, pauses show nothing:
// with one request a second, more than one of fifty would count as stale on a calm day.
constexpr int kUsualLimitFactor = 2;
// Fewer requests do not show what is usual.
constexpr std::size_t kMinRequests = 20;
constexpr std::chrono::seconds kPauseMemory{60};
// TCP sends a lost segment again after this time at least, and doubles it with each attempt: what
// was sent first in a silence comes within the length of the silence and this time after its end.
constexpr milliseconds kMinResend{200};

}  // namespace

void StaleRequestDetector::OnRequest(TimePoint now) {
  const TimePoint last = std::exchange(last_request_, now);
  if (++requests_ == 1) return;
  const Duration pause = now - last;
  if (pause * kSilenceFactor <= min_silence_) return;
  while (!pauses_.empty() && pauses_.front().ended + kPauseMemory < now) pauses_.pop_front();
  const Duration usual = UsualPause();
  const bool is_silence = requests_ > kMinRequests && pause > min_silence_ &&
                          pause > usual * kSilenceFactor &&
                          usual <= min_silence_ * kUsualLimitFactor;
  pauses_.push_back({.ended = now, .length = pause});
  if (is_silence) AddSilence(last, now);
}

Duration StaleRequestDetector::UsualPause() const {
  std::array<Duration, 3> longest{};
  for (const Pause& pause : pauses_) {
    if (pause.length <= longest.back()) continue;
    longest.back() = pause.length;
    std::sort(longest.begin(), longest.end(), std::greater<>());
  }
  return longest.back();
}

void StaleRequestDetector::AddSilence(TimePoint began, TimePoint ended) {
  // What was sent in an earlier silence may not have come before this one.
  if (began < stale_until_) began = std::min(began, silence_began_);
  silence_began_ = began;
  silence_ended_ = ended;
  stale_until_ = std::max(stale_until_, ended + (ended - began) + kMinResend);
}

}  // namespace zinniamux::core
