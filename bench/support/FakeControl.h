/// A stand-in for control that keeps everything in memory: it acknowledges
/// heartbeats, lists the agents it hears of, grants claims and takes receipts.
#ifndef DRAGONFLY_BENCH_SUPPORT_FAKECONTROL_H
#define DRAGONFLY_BENCH_SUPPORT_FAKECONTROL_H

#include "dragonfly/net/Endpoint.h"
#include "dragonfly/wire/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dragonfly::net {
class EventLoop;
} // namespace dragonfly::net

namespace dragonfly::standin {

struct FakeControlOptions {
  net::Endpoint Listen_;
  std::string Plans_;
  std::string Purchases_;
  /// Answers a request in place of the usual answer; true where it did.
  std::function<bool(const wire::Message &, wire::Message &Answer)> Override_;
};

/// One replica that leads alone.
class FakeControl {
public:
  FakeControl(net::EventLoop &Loop, FakeControlOptions Options);
  ~FakeControl();

  net::Endpoint endpoint() const;
  /// Puts newer lists in force.
  void setLists(std::string Plans, std::string Purchases);
  /// Distinct completed requests that receipts told of.
  std::size_t countedRequests() const;
  /// Agents heard of that are not leaving.
  std::size_t upstreams() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::standin

#endif // DRAGONFLY_BENCH_SUPPORT_FAKECONTROL_H
