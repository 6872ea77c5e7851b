#include "dragonfly/link/ReceiptKeeper.h"

#include "dragonfly/base/Clock.h"
#include "dragonfly/link/Outbox.h"

#include <utility>
#include <vector>

namespace dragonfly::link {

struct ReceiptKeeper::Impl : Outbox<wire::Receipt> {
  using Outbox::Outbox;
};

namespace {

/// Returns a hook that sends one batch to the leader of control.
auto makeSender(ReceiptKeeperOptions Options) {
  return [Options = std::move(Options)](std::vector<wire::Receipt> Rows,
                                        std::function<void(bool)> OnEnd) {
    const Duration Now = Clock::now().time_since_epoch();
    for (wire::Receipt &Row : Rows)
      Row.Age_ = Now - Row.Age_;
    Options.CallLeader_(
        wire::ReceiptBatch{.Holder_ = Options.Holder_,
                           .Incarnation_ = Options.Incarnation_,
                           .Rows_ = std::move(Rows)},
        Options.Timeout_,
        [OnEnd = std::move(OnEnd)](const net::CallResult &Result) {
          OnEnd(std::holds_alternative<wire::ReceiptAck>(Result.Answer_));
        });
  };
}

} // namespace

ReceiptKeeper::ReceiptKeeper(net::EventLoop &Loop, ReceiptKeeperOptions Options)
    : Impl_(std::make_shared<Impl>(
          Loop, OutboxOptions<wire::Receipt>{.MaxRows_ = Options.MaxRows_,
                                             .BatchRows_ = Options.BatchRows_,
                                             .Period_ = Options.Period_,
                                             .Send_ = makeSender(Options)})) {}

ReceiptKeeper::~ReceiptKeeper() = default;

/// While a receipt is kept, its age holds when the request ended.
void ReceiptKeeper::add(wire::Receipt Row) {
  Row.Age_ = Clock::now().time_since_epoch();
  Impl_->add(std::move(Row));
}

std::size_t ReceiptKeeper::pending() const { return Impl_->pending(); }

bool ReceiptKeeper::full() const { return Impl_->full(); }

void ReceiptKeeper::flush(std::function<void()> OnEmpty) {
  Impl_->flush(std::move(OnEmpty));
}

} // namespace dragonfly::link
