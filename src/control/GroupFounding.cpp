#include "dragonfly/control/GroupFounding.h"

#include "dragonfly/base/Random.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/net/FrameServer.h"

#include <algorithm>
#include <map>
#include <utility>

namespace dragonfly::control {
namespace {

constexpr Duration QueryPeriod = std::chrono::milliseconds(100);
constexpr Duration QueryTimeout = std::chrono::milliseconds(400);

} // namespace

void FounderChoice::addCandidate(TimePoint Now,
                                 const wire::GroupRow &Candidate) {
  if (std::ranges::find(Candidates_, Candidate.Id_, &wire::GroupRow::Id_) !=
      Candidates_.end())
    return;
  Candidates_.push_back(Candidate);
  LastAddedAt_ = Now;
}

const std::vector<wire::GroupRow> &FounderChoice::decide(TimePoint Now) {
  const bool HasEnough = Candidates_.size() >= Options_.Wanted_;
  const bool GraceExpired =
      !Candidates_.empty() && Now - LastAddedAt_ >= Options_.GracePeriod_;
  if (!Chosen_.empty() || (!HasEnough && !GraceExpired))
    return Chosen_;
  std::ranges::sort(Candidates_, {}, &wire::GroupRow::Id_);
  Chosen_ = Candidates_;
  if (Chosen_.size() > Options_.Wanted_)
    Chosen_.resize(Options_.Wanted_);
  return Chosen_;
}

struct GroupFounding::Impl : std::enable_shared_from_this<GroupFounding::Impl> {
  Impl(net::EventLoop &Loop, GroupFoundingOptions Options)
      : Loop_(Loop), Options_(std::move(Options)),
        Self_(makeFreshId<Incarnation>()), Choice_(Options_.Choice_),
        Server_(Loop, {.Listen_ = net::Endpoint::make(Options_.Self_.Address_),
                       .Self_ = Self_,
                       .OnMessage_ = [this](const wire::Message &Value,
                                            const net::FrameReplier &To) {
                         answer(Value, To);
                       }}) {
    std::ranges::sort(Options_.Seeds_);
  }

  void start() {
    QueryTimer_ = Loop_.every(QueryPeriod, [this] { querySeeds(); });
    querySeeds();
  }

  bool makesChoice() const {
    return !Options_.Seeds_.empty() &&
           Options_.Seeds_.front() == Options_.Self_.Address_;
  }

  void answer(const wire::Message &Value, const net::FrameReplier &To) {
    if (const auto *Join = std::get_if<wire::JoinGroup>(&Value)) {
      if (makesChoice())
        Choice_.addCandidate(Clock::now(),
                             {.Id_ = Join->Id_, .Address_ = Join->Address_});
      To.answer(wire::Group{.Rows_ = Members_});
    } else if (std::holds_alternative<wire::FetchGroup>(Value)) {
      To.answer(wire::Group{.Rows_ = Members_});
    } else {
      To.answer(wire::Refusal{.Reason_ = Reason::NoQuorum});
    }
  }

  void querySeeds() {
    if (!Members_.empty())
      return;
    if (makesChoice()) {
      if (Options_.IsCandidate_)
        Choice_.addCandidate(Clock::now(), Options_.Self_);
      finish(Choice_.decide(Clock::now()));
      return;
    }
    SendFetch_ = !SendFetch_;
    for (const std::string &Seed : Options_.Seeds_)
      if (Seed != Options_.Self_.Address_)
        querySeed(Seed);
  }

  void querySeed(const std::string &Seed) {
    std::unique_ptr<net::FrameClient> &Client = Clients_[Seed];
    if (!Client)
      Client = std::make_unique<net::FrameClient>(
          Loop_, net::FrameClientOptions{.Peer_ = net::Endpoint::make(Seed),
                                         .Self_ = Self_});
    if (Client->pendingCalls() > 0)
      return;
    // A seed that has already become a replica answers only FetchGroup.
    wire::Message Request = wire::FetchGroup{};
    if (Options_.IsCandidate_ && !SendFetch_)
      Request = wire::JoinGroup{.Id_ = Options_.Self_.Id_,
                                .Store_ = {},
                                .Address_ = Options_.Self_.Address_};
    Client->call(Request, QueryTimeout,
                 [Self = weak_from_this()](net::CallResult Result) {
                   const auto Founding = Self.lock();
                   const auto *Known =
                       std::get_if<wire::Group>(&Result.Answer_);
                   if (Founding && Known != nullptr)
                     Founding->finish(Known->Rows_);
                 });
  }

  void finish(const std::vector<wire::GroupRow> &Members) {
    if (Members.empty() || !Members_.empty())
      return;
    Members_ = Members;
    QueryTimer_.cancel();
    // Posted because the owner destroys this object in the handler.
    Loop_.post([Self = shared_from_this()] {
      Self->Options_.OnFounded_(Self->Members_);
    });
  }

  net::EventLoop &Loop_;
  GroupFoundingOptions Options_;
  Incarnation Self_;
  FounderChoice Choice_;
  std::vector<wire::GroupRow> Members_;
  net::FrameServer Server_;
  std::map<std::string, std::unique_ptr<net::FrameClient>> Clients_;
  net::Timer QueryTimer_;
  bool SendFetch_ = false;
};

GroupFounding::GroupFounding(net::EventLoop &Loop, GroupFoundingOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Options))) {
  Impl_->start();
}

net::StopPart GroupFounding::stopPart() {
  return Impl_->Server_.stopPart("founding");
}

GroupFounding::~GroupFounding() {
  Impl_->QueryTimer_.cancel();
  Impl_->Server_.close();
  Impl_->Clients_.clear();
}

} // namespace dragonfly::control
