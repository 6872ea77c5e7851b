/// The entry without its sockets: requests, lists, upstreams and receipts,
/// driven by messages, timers of the loop and hooks.
#ifndef DRAGONFLY_ENTRY_ENTRYCORE_H
#define DRAGONFLY_ENTRY_ENTRYCORE_H

#include "dragonfly/base/Ids.h"
#include "dragonfly/entry/Gateway.h"
#include "dragonfly/link/ControlLink.h"
#include "dragonfly/settings/Settings.h"
#include "dragonfly/wire/Messages.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dragonfly::net {
class EventLoop;
} // namespace dragonfly::net

namespace dragonfly::entry {

struct EntryCoreOptions {
  settings::EntrySettings Settings_;
  /// Drawn at random for each process.
  Incarnation Self_;
  /// Where callers reach this entry, as announced to control.
  std::string Address_;
  std::function<void(AgentCall)> CallAgent_;
  std::function<void(const std::string &Worker, const wire::Message &)>
      TellAgent_;
  /// Called with each newer table of upstreams.
  std::function<void(const std::vector<wire::Upstream> &)> OnUpstreams_;
  std::function<void(const std::string &Customer, const std::string &Kind,
                     Duration Latency)>
      OnCompleted_;
  /// Used in place of sockets towards control, where set.
  link::ControlTransport Transport_;
};

/// One entry.
class EntryCore {
public:
  /// Throws NetError(CannotListen) where it opens sockets.
  EntryCore(net::EventLoop &Loop, EntryCoreOptions Options);
  ~EntryCore();

  Gateway &requests();
  /// The link to control; takes acknowledgements where there are no sockets.
  link::ControlLink &link();

  /// True while new requests are taken.
  bool ready() const;
  /// Receipts that control has not acknowledged.
  std::size_t pendingReceipts() const;

  /// Announces that the entry is leaving.
  void announceStop();
  /// Hands all receipts to control, then calls \p OnEmpty.
  void flushReceipts(std::function<void()> OnEmpty);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::entry

#endif // DRAGONFLY_ENTRY_ENTRYCORE_H
