#include "support/EntryPolicy.h"

#include "dragonfly/base/Random.h"

#include <algorithm>
#include <deque>
#include <memory>

namespace dragonfly::bench {

using namespace decide;

namespace {

AdmissionOptions admissionOf(const Deployment &Site) {
  AdmissionOptions Options;
  for (const RequestKind &Kind : Site.Kinds_)
    Options.Kinds_.push_back(
        {.Name_ = Kind.Name_,
         .FloorPermille_ = Kind.FloorPermille_,
         .Rank_ = static_cast<std::uint32_t>(Options.Kinds_.size()),
         .QueueLimit_ = Site.QueueLimit_,
         .ExpectedServiceTime_ = Kind.MeanService_});
  return Options;
}

void useAdmission(EntryPolicy &Policy, AdmissionOptions Options) {
  const auto Own = std::make_shared<Admission>(std::move(Options));
  Policy.SetCustomers_ = [Own](std::vector<CustomerPolicy> Customers) {
    Own->setCustomers(std::move(Customers));
  };
  Policy.SetCapacity_ = [Own](std::uint32_t Slots) { Own->setCapacity(Slots); };
  Policy.Offer_ = [Own](TimePoint Now, const AdmissionRequest &Request) {
    return Own->offer(Now, Request);
  };
  Policy.Finish_ = [Own](TimePoint Now, RequestHandle Request,
                         Duration Service) {
    Own->finish(Now, Request, Service);
  };
  Policy.Cancel_ = [Own](RequestHandle Request) { Own->cancel(Request); };
  Policy.PutBack_ = [Own](TimePoint Now, RequestHandle Request) {
    Own->requeue(Now, Request);
  };
  Policy.Tick_ = [Own](TimePoint Now) { return Own->tick(Now); };
}

void useRouter(EntryPolicy &Policy, RouterOptions Options) {
  const auto Own = std::make_shared<Router>(std::move(Options));
  Policy.SetUpstreams_ = [Own](std::span<const UpstreamRow> Rows) {
    Own->setUpstreams(Rows);
  };
  Policy.Pick_ = [Own](TimePoint Now, std::span<const UpstreamIndex> Exclude) {
    return Own->pick(Now, Exclude);
  };
  Policy.Started_ = [Own](TimePoint Now, UpstreamIndex Upstream) {
    Own->recordStart(Now, Upstream);
  };
  Policy.Finished_ = [Own](TimePoint Now, UpstreamIndex Upstream,
                           AttemptResult Result, Duration Latency,
                           RoutedKind Kind) {
    Own->recordResult(Now, Upstream, Result, Latency, Kind);
  };
  Policy.CountRequest_ = [Own] { Own->countRequest(); };
  Policy.TakeRetry_ = [Own] { return Own->tryConsumeRetry(); };
  Policy.Slots_ = [Own] { return Own->usableSlots(); };
  Policy.Ejected_ = [Own](TimePoint Now) {
    std::size_t Count = 0;
    for (UpstreamIndex Index = 0; Index < Own->size(); ++Index)
      Count += Own->isEjected(Now, Index) ? 1 : 0;
    return Count;
  };
}

/// First come, first served, whatever the kind or the customer.
struct SharedQueue {
  struct Entry {
    RequestHandle Request_ = 0;
    TimePoint Deadline_;
  };

  std::deque<Entry> Waiting_;
  std::vector<AdmissionCommand> Refused_;
  std::uint32_t Slots_ = 0;
  std::uint32_t InProgress_ = 0;
  RequestHandle Last_ = 0;

  RequestHandle offer(TimePoint Deadline, std::size_t Limit) {
    ++Last_;
    if (Waiting_.size() < Limit)
      Waiting_.push_back({Last_, Deadline});
    else
      Refused_.push_back(
          {Last_, AdmissionVerdict::Refuse, Reason::QueueFull, {}});
    return Last_;
  }

  std::vector<AdmissionCommand> tick(TimePoint Now) {
    std::vector<AdmissionCommand> Commands = std::move(Refused_);
    Refused_.clear();
    for (; !Waiting_.empty() && InProgress_ < Slots_; Waiting_.pop_front()) {
      const bool Late = Waiting_.front().Deadline_ <= Now;
      InProgress_ += Late ? 0 : 1;
      Commands.push_back(
          {Waiting_.front().Request_,
           Late ? AdmissionVerdict::Refuse : AdmissionVerdict::Dispatch,
           Late ? Reason::DeadlinePassed : Reason::None,
           {}});
    }
    return Commands;
  }

  void cancel(RequestHandle Request) {
    if (std::erase_if(Waiting_, [Request](const Entry &Row) {
          return Row.Request_ == Request;
        }) == 0)
      --InProgress_;
  }
};

/// What the router baselines know: rows and their own attempts in progress.
struct PlainTable {
  explicit PlainTable(std::uint64_t Seed) : Random_(Seed) {}

  std::vector<UpstreamRow> Rows_;
  std::vector<std::uint32_t> InProgress_;
  RandomEngine Random_;

  std::vector<UpstreamIndex>
  allowed(std::span<const UpstreamIndex> Exclude) const {
    std::vector<UpstreamIndex> Found;
    for (UpstreamIndex Index = 0; Index < Rows_.size(); ++Index)
      if (!Rows_[Index].Draining_ &&
          std::ranges::find(Exclude, Index) == Exclude.end())
        Found.push_back(Index);
    return Found;
  }
};

std::shared_ptr<PlainTable> usePlainTable(EntryPolicy &Policy,
                                          std::uint64_t Seed) {
  const auto Own = std::make_shared<PlainTable>(Seed);
  Policy.SetUpstreams_ = [Own](std::span<const UpstreamRow> Rows) {
    Own->Rows_.assign(Rows.begin(), Rows.end());
    Own->InProgress_.resize(Rows.size());
  };
  Policy.Started_ = [Own](TimePoint, UpstreamIndex Upstream) {
    ++Own->InProgress_.at(Upstream);
  };
  Policy.Finished_ = [Own](TimePoint, UpstreamIndex Upstream, AttemptResult,
                           Duration,
                           RoutedKind) { --Own->InProgress_.at(Upstream); };
  Policy.Slots_ = nullptr;
  Policy.Ejected_ = [](TimePoint) { return std::size_t{0}; };
  return Own;
}

} // namespace

std::string zoneName(const Deployment &Site, std::size_t Index) {
  return "az-" + std::to_string(Index % Site.Zones_);
}

EntryPolicy shippedEntry(const Deployment &Site, std::size_t Entry,
                         std::uint64_t Seed) {
  EntryPolicy Policy;
  useAdmission(Policy, admissionOf(Site));
  useRouter(Policy, {.AvailabilityZone_ = zoneName(Site, Entry),
                     .Seed_ = Seed + Entry});
  return Policy;
}

EntryPolicy randomUpstream(const Deployment &Site, std::size_t Entry,
                           std::uint64_t Seed) {
  EntryPolicy Policy = shippedEntry(Site, Entry, Seed);
  const auto Own = usePlainTable(Policy, Seed + Entry);
  Policy.Pick_ = [Own](TimePoint, std::span<const UpstreamIndex> Exclude)
      -> std::optional<UpstreamIndex> {
    const auto Allowed = Own->allowed(Exclude);
    if (Allowed.empty())
      return std::nullopt;
    return Allowed[Own->Random_() % Allowed.size()];
  };
  return Policy;
}

EntryPolicy leastConnections(const Deployment &Site, std::size_t Entry,
                             std::uint64_t Seed) {
  EntryPolicy Policy = shippedEntry(Site, Entry, Seed);
  const auto Own = usePlainTable(Policy, Seed + Entry);
  Policy.Pick_ = [Own](TimePoint, std::span<const UpstreamIndex> Exclude)
      -> std::optional<UpstreamIndex> {
    const auto Allowed = Own->allowed(Exclude);
    if (Allowed.empty())
      return std::nullopt;
    return *std::ranges::min_element(Allowed, {}, [&](UpstreamIndex Index) {
      return Own->InProgress_[Index];
    });
  };
  return Policy;
}

EntryPolicy oneSharedQueue(const Deployment &Site, std::size_t Entry,
                           std::uint64_t Seed) {
  EntryPolicy Policy = shippedEntry(Site, Entry, Seed);
  const auto Own = std::make_shared<SharedQueue>();
  const std::size_t Limit = Site.QueueLimit_ * Site.Kinds_.size();
  Policy.SetCustomers_ = [](const std::vector<CustomerPolicy> &) {};
  Policy.SetCapacity_ = [Own](std::uint32_t Slots) { Own->Slots_ = Slots; };
  Policy.Offer_ = [Own, Limit](TimePoint, const AdmissionRequest &Request) {
    return Own->offer(Request.Deadline_, Limit);
  };
  Policy.Finish_ = [Own](TimePoint, RequestHandle, Duration) {
    --Own->InProgress_;
  };
  Policy.Cancel_ = [Own](RequestHandle Request) { Own->cancel(Request); };
  Policy.PutBack_ = nullptr;
  Policy.Tick_ = [Own](TimePoint Now) { return Own->tick(Now); };
  return Policy;
}

EntryPolicy noRetryBudget(const Deployment &Site, std::size_t Entry,
                          std::uint64_t Seed) {
  EntryPolicy Policy = shippedEntry(Site, Entry, Seed);
  Policy.TakeRetry_ = [] { return true; };
  return Policy;
}

} // namespace dragonfly::bench
