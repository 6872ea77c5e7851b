/// A caller that keeps using its connection until that ends, as clients with
/// pools of connections do.
#ifndef DRAGONFLY_TESTS_SOAK_OPENCALLER_H
#define DRAGONFLY_TESTS_SOAK_OPENCALLER_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/EventLoop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dragonfly::soak {

/// A request whose connection ended, or stayed silent, without a whole answer.
struct LostRequest {
  net::Endpoint Peer_;
  TimePoint ConnectedAt_;
  TimePoint SentAt_;
  /// True where nothing came for `AnswerTimeout`.
  bool IsTimeout_ = false;
};

struct OpenCallerOptions {
  /// Where the next connection goes.
  std::function<net::Endpoint()> NextPeer_;
  /// Bytes of the next request.
  std::function<std::string()> NextRequest_;
  std::function<void(const LostRequest &)> OnLost_;
  Duration MeanPause_{};
  /// Whether it looks before a request if its connection has been closed.
  bool IsCareful_ = false;
  std::uint64_t Seed_ = 1;
};

class OpenCaller {
public:
  OpenCaller(net::EventLoop &Loop, OpenCallerOptions Options);
  ~OpenCaller();

  std::size_t answered() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::soak

#endif // DRAGONFLY_TESTS_SOAK_OPENCALLER_H
