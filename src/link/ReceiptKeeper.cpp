#include "dragonfly/link/ReceiptKeeper.h"

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

void ReceiptKeeper::add(wire::Receipt Row) { Impl_->add(std::move(Row)); }

std::size_t ReceiptKeeper::pending() const { return Impl_->pending(); }

bool ReceiptKeeper::full() const { return Impl_->full(); }

void ReceiptKeeper::flush(std::function<void()> OnEmpty) {
  Impl_->flush(std::move(OnEmpty));
}

} // namespace dragonfly::link
