/// One entry: HTTP for callers on one side, control and agents on the other.
#ifndef DRAGONFLY_ENTRY_ENTRY_H
#define DRAGONFLY_ENTRY_ENTRY_H

#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/GracefulStop.h"
#include "dragonfly/settings/Settings.h"

#include <functional>
#include <memory>

namespace dragonfly::entry {

/// Whether a graceful stop finished all that was in progress.
using net::StopResult;

/// An entry that serves until it is stopped. Runs on the loop's thread.
class Entry {
public:
  /// Begins to listen. Throws net::NetError.
  Entry(net::EventLoop &Loop, const settings::EntrySettings &Settings);
  ~Entry();

  /// Stops gracefully: fails the readiness check while callers still come,
  /// then refuses new requests, finishes what is in progress and hands all
  /// receipts to control. Calls \p OnStopped at the end or at the settings'
  /// bound.
  void stop(std::function<void(StopResult)> OnStopped);

  /// True while the entry takes new requests.
  bool ready() const;
  /// Where callers connect.
  net::Endpoint endpoint() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::entry

#endif // DRAGONFLY_ENTRY_ENTRY_H
