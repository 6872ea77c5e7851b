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

/// How often the seeds are asked.
constexpr Duration AskPeriod = std::chrono::milliseconds(100);
constexpr Duration AskTimeout = std::chrono::milliseconds(400);

} // namespace

void FounderChoice::sighted(TimePoint Now, const wire::GroupRow &Candidate) {
  if (std::ranges::find(Candidates_, Candidate.Id_, &wire::GroupRow::Id_) !=
      Candidates_.end())
    return;
  Candidates_.push_back(Candidate);
  LastSightedAt_ = Now;
}

const std::vector<wire::GroupRow> &FounderChoice::decide(TimePoint Now) {
  const bool Enough = Candidates_.size() >= Options_.Wanted_;
  const bool Waited =
      !Candidates_.empty() && Now - LastSightedAt_ >= Options_.Patience_;
  if (!Chosen_.empty() || (!Enough && !Waited))
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
    Asks_ = Loop_.every(AskPeriod, [this] { ask(); });
    ask();
  }

  bool makesChoice() const {
    return !Options_.Seeds_.empty() &&
           Options_.Seeds_.front() == Options_.Self_.Address_;
  }

  void answer(const wire::Message &Value, const net::FrameReplier &To) {
    if (const auto *Join = std::get_if<wire::JoinGroup>(&Value)) {
      if (makesChoice())
        Choice_.sighted(Clock::now(),
                        {.Id_ = Join->Id_, .Address_ = Join->Address_});
      To.answer(wire::Group{.Rows_ = Members_});
    } else if (std::holds_alternative<wire::FetchGroup>(Value)) {
      To.answer(wire::Group{.Rows_ = Members_});
    } else {
      To.answer(wire::Refusal{.Reason_ = Reason::NoQuorum});
    }
  }

  void ask() {
    if (!Members_.empty())
      return;
    if (makesChoice()) {
      if (Options_.IsCandidate_)
        Choice_.sighted(Clock::now(), Options_.Self_);
      found(Choice_.decide(Clock::now()));
      return;
    }
    Fetches_ = !Fetches_;
    for (const std::string &Seed : Options_.Seeds_)
      if (Seed != Options_.Self_.Address_)
        askSeed(Seed);
  }

  void askSeed(const std::string &Seed) {
    std::unique_ptr<net::FrameClient> &Client = Clients_[Seed];
    if (!Client)
      Client = std::make_unique<net::FrameClient>(
          Loop_, net::FrameClientOptions{.Peer_ = net::Endpoint::make(Seed),
                                         .Self_ = Self_});
    if (Client->pendingCalls() > 0)
      return;
    // A seed that is a replica by now answers only the first question.
    wire::Message Question = wire::FetchGroup{};
    if (Options_.IsCandidate_ && !Fetches_)
      Question = wire::JoinGroup{.Id_ = Options_.Self_.Id_,
                                 .Store_ = {},
                                 .Address_ = Options_.Self_.Address_};
    Client->call(Question, AskTimeout,
                 [Self = weak_from_this()](net::CallResult Result) {
                   const auto Founding = Self.lock();
                   const auto *Known =
                       std::get_if<wire::Group>(&Result.Answer_);
                   if (Founding && Known != nullptr)
                     Founding->found(Known->Rows_);
                 });
  }

  void found(const std::vector<wire::GroupRow> &Members) {
    if (Members.empty() || !Members_.empty())
      return;
    Members_ = Members;
    Asks_.cancel();
    // The owner ends this object from within the handler.
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
  net::Timer Asks_;
  bool Fetches_ = false;
};

GroupFounding::GroupFounding(net::EventLoop &Loop, GroupFoundingOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Options))) {
  Impl_->start();
}

GroupFounding::~GroupFounding() {
  Impl_->Asks_.cancel();
  Impl_->Server_.close();
  Impl_->Clients_.clear();
}

} // namespace dragonfly::control
