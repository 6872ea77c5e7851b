/// A network path from one process to one control process: it delays, drops or
/// resets. The process knows the others only by the paths' addresses, so the
/// addresses in answers are translated, as a NAT would.
#ifndef DRAGONFLY_REVIEW_STANDIN_FRAMEPATH_H
#define DRAGONFLY_REVIEW_STANDIN_FRAMEPATH_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/EventLoop.h"

#include <map>
#include <memory>
#include <string>

namespace dragonfly::review {

class FramePath {
public:
  struct Harm {
    /// Each byte arrives this much later.
    Duration RequestDelay_{};
    Duration AnswerDelay_{};
    /// Connections that are open when it is set go silent for good.
    bool SilencesOpen_ = false;
    /// Bytes of either direction are dropped while it is set; their connections
    /// stay silent afterwards.
    bool CutsRequests_ = false;
    bool CutsAnswers_ = false;
  };
  /// By the address that an answer names, the one that is put in its place.
  using Addresses = std::map<std::string, std::string>;

  FramePath(net::EventLoop &Loop, const net::Endpoint &Listen,
            const net::Endpoint &Target, Addresses Translated);
  ~FramePath();

  void setHarm(const Harm &Value);
  /// Resets all open connections.
  void reset();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::review

#endif // DRAGONFLY_REVIEW_STANDIN_FRAMEPATH_H
