#include "support/FakeControl.h"

#include "dragonfly/net/DatagramSocket.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace dragonfly::standin {
namespace {

constexpr Incarnation Self{9001};
constexpr Duration LeaseTerm = std::chrono::seconds(3);

} // namespace

struct FakeControl::Impl {
  Impl(net::EventLoop &Loop, FakeControlOptions Options)
      : Options_(std::move(Options)),
        Frames_(Loop, {.Listen_ = Options_.Listen_,
                       .Self_ = Self,
                       .OnMessage_ =
                           [this](const wire::Message &Value,
                                  const net::FrameReplier &Replier) {
                             Replier.answer(answer(Value));
                           }}),
        Beats_(Loop,
               {.Listen_ = Frames_.endpoint(),
                .Self_ = Self,
                .OnMessage_ = [this](const net::Endpoint &From,
                                     const wire::Message &Value) {
                  if (const auto *Beat = std::get_if<wire::Heartbeat>(&Value))
                    heard(From, *Beat);
                }}) {}

  void heard(const net::Endpoint &From, const wire::Heartbeat &Beat) {
    if (Beat.Role_ == wire::Role::Agent)
      takeAgent(Beat);
    else
      Entries_.insert(Beat.Name_);
    Beats_.send(From, wire::HeartbeatAck{.Sequence_ = Beat.Sequence_,
                                         .SentAt_ = Beat.SentAt_,
                                         .IsLeader_ = true,
                                         .Leader_ = Frames_.endpoint().text(),
                                         .LeaseTerm_ = LeaseTerm,
                                         .Epoch_ = {1},
                                         .Plans_ = {Version_},
                                         .Purchases_ = {Version_},
                                         .UpstreamsVersion_ = UpstreamsVersion_,
                                         .Entries_ = static_cast<std::uint32_t>(
                                             Entries_.size())});
  }

  void takeAgent(const wire::Heartbeat &Beat) {
    wire::Upstream Row{.Name_ = Beat.Name_,
                       .Incarnation_ = Beat.Incarnation_,
                       .AvailabilityZone_ = Beat.AvailabilityZone_,
                       .Rack_ = Beat.Rack_,
                       .Address_ = Beat.Address_,
                       .Draining_ = Beat.Draining_ || !Beat.LedgerReady_,
                       .Vm_ = Beat.Vm_};
    const auto [It, Added] = Upstreams_.try_emplace(Beat.Name_, Row);
    if (Added || It->second.Incarnation_ != Row.Incarnation_ ||
        It->second.Draining_ != Row.Draining_)
      ++UpstreamsVersion_;
    It->second = std::move(Row);
  }

  wire::Message answer(const wire::Message &Value) {
    wire::Message Overridden;
    if (Options_.Override_ && Options_.Override_(Value, Overridden))
      return Overridden;
    if (std::holds_alternative<wire::FetchLists>(Value))
      return wire::Lists{.PlansVersion_ = {Version_},
                         .Plans_ = Options_.Plans_,
                         .PurchasesVersion_ = {Version_},
                         .Purchases_ = Options_.Purchases_};
    if (std::holds_alternative<wire::FetchUpstreams>(Value)) {
      wire::Upstreams Table{.Version_ = UpstreamsVersion_};
      for (const auto &[Name, Row] : Upstreams_)
        Table.Rows_.push_back(Row);
      return Table;
    }
    if (std::holds_alternative<wire::Claim>(Value))
      return wire::ClaimReply{.Status_ = wire::ClaimStatus::Granted};
    if (const auto *Batch = std::get_if<wire::ReceiptBatch>(&Value))
      return takeReceipts(*Batch);
    if (std::holds_alternative<wire::FetchDirectives>(Value))
      return wire::Directives{};
    return wire::Refusal{.Reason_ = Reason::UnknownKind};
  }

  wire::Message takeReceipts(const wire::ReceiptBatch &Batch) {
    for (const wire::Receipt &Row : Batch.Rows_)
      if (Row.Outcome_ == Outcome::Completed)
        Counted_.insert(Row.Key_);
    return wire::ReceiptAck{.Count_ = Batch.Rows_.size()};
  }

  FakeControlOptions Options_;
  net::FrameServer Frames_;
  net::DatagramSocket Beats_;
  std::map<std::string, wire::Upstream> Upstreams_;
  std::set<std::string> Entries_;
  std::set<wire::RequestKey> Counted_;
  std::uint64_t UpstreamsVersion_ = 1;
  std::uint64_t Version_ = 2;
};

FakeControl::FakeControl(net::EventLoop &Loop, FakeControlOptions Options)
    : Impl_(std::make_unique<Impl>(Loop, std::move(Options))) {}

FakeControl::~FakeControl() = default;

net::Endpoint FakeControl::endpoint() const {
  return Impl_->Frames_.endpoint();
}

void FakeControl::setLists(std::string Plans, std::string Purchases) {
  Impl_->Options_.Plans_ = std::move(Plans);
  Impl_->Options_.Purchases_ = std::move(Purchases);
  ++Impl_->Version_;
}

std::size_t FakeControl::countedRequests() const {
  return Impl_->Counted_.size();
}

std::size_t FakeControl::upstreams() const {
  std::size_t Result = 0;
  for (const auto &[Name, Row] : Impl_->Upstreams_)
    Result += Row.Draining_ ? 0 : 1;
  return Result;
}

} // namespace dragonfly::standin
