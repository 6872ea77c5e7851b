#include "net/HttpConnection.h"

#include <chrono>

namespace dragonfly::net {

/// An answer that its caller has not taken for this long may be given up.
static constexpr Duration StalledAnswerTime = std::chrono::seconds(2);

void HttpConnection::releaseInput() {
  Buffer_.clear();
  Buffer_.shrink_to_fit();
  resetParser();
}

void HttpConnection::countMemory() {
  if (Closed_ || !Memory_)
    return;
  const std::size_t Input = Buffer_.capacity() +
                            Parser_->get().body().capacity() +
                            HeaderHeap_.bytes();
  std::size_t Rest = Out_.capacity() + InFlight_.capacity();
  for (const RequestState &Request : Requests_)
    Rest += Request->Bytes_ + Request->Held_.capacity();
  Memory_->set(Input + Rest,
               (isIncomplete() ? Input : 0) + (isAnswerStalled() ? Rest : 0));
}

bool HttpConnection::hold(HttpReplier::State &Request, std::size_t Bytes) {
  if (Owner_ == nullptr || !Owner_->Memory_.hasRoomFor(Bytes))
    return false;
  Request.Bytes_ += Bytes;
  countMemory();
  return true;
}

/// Returns whether a request has begun to arrive that can be given up. Whole
/// ones may wait in the buffer while requests are handed over.
bool HttpConnection::isIncomplete() const {
  return !Dispatching_ && !Discarding_ && !betweenRequests() && !isPaused();
}

/// Returns whether the caller has not taken the last answer for
/// `StalledAnswerTime`.
bool HttpConnection::isAnswerStalled() const {
  return Requests_.empty() && Writing_ && Owner_ != nullptr &&
         Clock::now() + Owner_->Options_.WriteTimeout_ - WriteDeadline_ >=
             StalledAnswerTime;
}

void HttpConnection::dropIncomplete() {
  if (Closed_)
    return;
  const auto Self = shared_from_this();
  if (isAnswerStalled()) {
    close();
  } else if (isIncomplete()) {
    releaseInput();
    lingerBriefly();
    refuse(makeMemoryRefusal());
    countMemory();
  }
}

} // namespace dragonfly::net
