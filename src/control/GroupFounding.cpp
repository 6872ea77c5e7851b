#include "dragonfly/control/GroupFounding.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/consensus/FoundingRecord.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/net/FrameServer.h"

#include <algorithm>
#include <iterator>
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

std::optional<std::vector<wire::GroupRow>>
unfinishedChoice(const std::string &DataFolder) {
  const auto Chosen = consensus::FoundingRecord(DataFolder).load();
  if (!Chosen)
    return std::nullopt;
  std::vector<wire::GroupRow> Rows;
  std::ranges::transform(
      *Chosen, std::back_inserter(Rows), [](const consensus::Member &Each) {
        return wire::GroupRow{.Id_ = Each.Id_, .Address_ = Each.Address_};
      });
  return Rows;
}

struct GroupFounding::Impl : std::enable_shared_from_this<GroupFounding::Impl> {
  Impl(net::EventLoop &Loop, GroupFoundingOptions Options)
      : Loop_(Loop), Options_(std::move(Options)),
        MakesChoice_(Options_.ResumesChoice_ || isLowestSeed()),
        Self_(makeFreshId<Incarnation>()), Choice_(Options_.Choice_),
        Server_(Loop, {.Listen_ = net::Endpoint::make(Options_.Self_.Address_),
                       .Self_ = Self_,
                       .OnMessage_ = [this](const wire::Message &Value,
                                            const net::FrameReplier &To) {
                         answer(Value, To);
                       }}) {}

  void start() {
    if (MakesChoice_ && !Options_.ResumesChoice_)
      save({});
    logEvent(Event::FoundingBegun,
             {{"replica", Options_.Self_.Id_.Value_},
              {"chooses", MakesChoice_ ? "yes" : "no"},
              {"resumed", Options_.ResumesChoice_ ? "yes" : "no"}});
    QueryTimer_ = Loop_.every(QueryPeriod, [this] { querySeeds(); });
    querySeeds();
  }

  bool isLowestSeed() const {
    const auto Lowest = std::ranges::min_element(Options_.Seeds_);
    return Lowest != Options_.Seeds_.end() &&
           *Lowest == Options_.Self_.Address_;
  }

  bool isCandidate() const { return !Options_.DataFolder_.empty(); }

  /// If this process ends while it chooses, nobody else may choose: its next
  /// life has to go on. A process without a disk cannot.
  void save(const std::vector<wire::GroupRow> &Chosen) {
    if (!isCandidate())
      return;
    std::vector<consensus::Member> Members;
    std::ranges::transform(
        Chosen, std::back_inserter(Members), [](const wire::GroupRow &Row) {
          return consensus::Member{
              .Id_ = Row.Id_, .Store_ = {}, .Address_ = Row.Address_};
        });
    consensus::FoundingRecord(Options_.DataFolder_).save(Members);
  }

  void answer(const wire::Message &Value, const net::FrameReplier &To) {
    if (const auto *Join = std::get_if<wire::JoinGroup>(&Value)) {
      if (MakesChoice_)
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
    if (MakesChoice_) {
      choose();
      return;
    }
    SendFetch_ = !SendFetch_;
    for (const std::string &Seed : Options_.Seeds_)
      if (Seed != Options_.Self_.Address_)
        querySeed(Seed);
  }

  void choose() {
    if (isCandidate())
      Choice_.addCandidate(Clock::now(), Options_.Self_);
    const std::vector<wire::GroupRow> &Chosen = Choice_.decide(Clock::now());
    // Before anyone is told.
    if (!Chosen.empty())
      save(Chosen);
    finish(Chosen);
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
    if (isCandidate() && !SendFetch_)
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
    logEvent(Event::FoundersKnown, {{"replica", Options_.Self_.Id_.Value_},
                                    {"members", Members_.size()},
                                    {"chooses", MakesChoice_ ? "yes" : "no"}});
    QueryTimer_.cancel();
    // Posted because the owner destroys this object in the handler.
    Loop_.post([Self = shared_from_this()] {
      Self->Options_.OnFounded_(Self->Members_);
    });
  }

  net::EventLoop &Loop_;
  GroupFoundingOptions Options_;
  bool MakesChoice_;
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
