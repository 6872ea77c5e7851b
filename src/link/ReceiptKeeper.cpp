#include "dragonfly/link/ReceiptKeeper.h"

#include "dragonfly/net/EventLoop.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace dragonfly::link {

struct ReceiptKeeper::Impl : std::enable_shared_from_this<Impl> {
  Impl(net::EventLoop &Loop, ReceiptKeeperOptions Options)
      : Loop_(Loop), Options_(std::move(Options)) {}

  void start() {
    Sends_ = Loop_.every(Options_.Period_, [this] { send(); });
  }

  void send() {
    if (Sending_ || Rows_.empty())
      return;
    if (BatchSize_ == 0)
      BatchSize_ = std::min(Rows_.size(), Options_.BatchRows_);
    Sending_ = true;
    const auto End = Rows_.begin() + static_cast<std::ptrdiff_t>(BatchSize_);
    Options_.CallLeader_(
        wire::ReceiptBatch{.Holder_ = Options_.Holder_,
                           .Incarnation_ = Options_.Incarnation_,
                           .Rows_ = {Rows_.begin(), End}},
        Options_.Timeout_,
        [Self = weak_from_this()](const net::CallResult &Result) {
          if (const auto Keeper = Self.lock())
            Keeper->ended(Result);
        });
  }

  void ended(const net::CallResult &Result) {
    Sending_ = false;
    if (!std::holds_alternative<wire::ReceiptAck>(Result.Answer_))
      return;
    Rows_.erase(Rows_.begin(),
                Rows_.begin() + static_cast<std::ptrdiff_t>(BatchSize_));
    BatchSize_ = 0;
    if (Rows_.empty() && OnEmpty_) {
      std::exchange(OnEmpty_, nullptr)();
      return;
    }
    if (OnEmpty_ || Rows_.size() >= Options_.BatchRows_)
      send();
  }

  net::EventLoop &Loop_;
  ReceiptKeeperOptions Options_;
  std::deque<wire::Receipt> Rows_;
  /// Rows of the batch that is being tried, from the front; 0 for none.
  std::size_t BatchSize_ = 0;
  bool Sending_ = false;
  std::function<void()> OnEmpty_;
  net::Timer Sends_;
};

ReceiptKeeper::ReceiptKeeper(net::EventLoop &Loop, ReceiptKeeperOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Options))) {
  Impl_->start();
}

ReceiptKeeper::~ReceiptKeeper() { Impl_->Sends_.cancel(); }

void ReceiptKeeper::add(wire::Receipt Row) {
  Impl_->Rows_.push_back(std::move(Row));
}

std::size_t ReceiptKeeper::pending() const { return Impl_->Rows_.size(); }

bool ReceiptKeeper::full() const {
  return Impl_->Rows_.size() >= Impl_->Options_.MaxRows_;
}

void ReceiptKeeper::flush(std::function<void()> OnEmpty) {
  if (Impl_->Rows_.empty()) {
    Impl_->Loop_.post(std::move(OnEmpty));
    return;
  }
  Impl_->OnEmpty_ = std::move(OnEmpty);
  Impl_->send();
}

} // namespace dragonfly::link
