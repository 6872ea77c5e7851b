#include "dragonfly/control/UpstreamTable.h"

#include "dragonfly/base/Log.h"

#include <algorithm>
#include <utility>

namespace dragonfly::control {
namespace {

/// Number of low bits of a version that count changes within one term. A leader
/// changes its table fewer than 2^24 times per term.
constexpr unsigned VersionBitsPerTerm = 24;

wire::Upstream makeUpstream(const wire::Heartbeat &Beat) {
  return {.Name_ = Beat.Name_,
          .Incarnation_ = Beat.Incarnation_,
          .AvailabilityZone_ = Beat.AvailabilityZone_,
          .Rack_ = Beat.Rack_,
          .Address_ = Beat.Address_,
          .Draining_ = Beat.Draining_,
          .Vm_ = Beat.Vm_};
}

/// True if entries route requests to both alike.
bool routesEqually(const wire::Upstream &A, const wire::Upstream &B) {
  return A.Incarnation_ == B.Incarnation_ && A.Address_ == B.Address_ &&
         A.Draining_ == B.Draining_ && A.Vm_.Slots_ == B.Vm_.Slots_ &&
         A.AvailabilityZone_ == B.AvailabilityZone_ && A.Rack_ == B.Rack_;
}

/// True if both lead to the same division of slots among the entries.
bool sharesSlotsEqually(const wire::Heartbeat &A, const wire::Heartbeat &B) {
  return A.Name_ == B.Name_ && A.AvailabilityZone_ == B.AvailabilityZone_ &&
         A.Draining_ == B.Draining_;
}

} // namespace

UpstreamTable::UpstreamTable(UpstreamTableOptions Options)
    : Options_(std::move(Options)) {}

bool UpstreamTable::isExpired(TimePoint Now, TimePoint RenewedAt) const {
  return Now - std::max(LeadingSince_, RenewedAt) >
         Options_.LeaseTerm_ + Options_.DriftMargin_;
}

void UpstreamTable::lead(TimePoint Now, Term Value) {
  LeadingSince_ = Now;
  Version_ = std::max(Version_ + 1, Value.Value_ << VersionBitsPerTerm);
  std::erase_if(Workers_, [this](const auto &Row) {
    return isReservedForAnother(Row.second.LastHeartbeat_);
  });
  // As a follower this replica may have replaced a holder that still holds its
  // tasks, so every holder may come back.
  ReplacedIncarnations_.clear();
}

bool UpstreamTable::isReservedForAnother(const wire::Heartbeat &Beat) const {
  const Incarnation Holder = Options_.HolderOfTasks_
                                 ? Options_.HolderOfTasks_(Beat.Name_)
                                 : Incarnation{};
  return Holder && Holder != Beat.Incarnation_;
}

bool UpstreamTable::heartbeat(TimePoint Now, const wire::Heartbeat &Beat,
                              bool Renew) {
  if (Beat.Role_ == wire::Role::Agent)
    return handleAgentHeartbeat(Now, Beat, Renew);
  if (Beat.Role_ == wire::Role::Entry) {
    HeartbeatRecord &Row = Entries_[Beat.Name_];
    if (!sharesSlotsEqually(Row.LastHeartbeat_, Beat))
      ++Version_;
    Row.LastHeartbeat_ = Beat;
    Row.ReceivedAt_ = Now;
  }
  return Renew;
}

bool UpstreamTable::handleAgentHeartbeat(TimePoint Now,
                                         const wire::Heartbeat &Beat,
                                         bool Renew) {
  const auto Found = Workers_.find(Beat.Name_);
  if (Found == Workers_.end() ||
      Found->second.LastHeartbeat_.Incarnation_ != Beat.Incarnation_)
    return claimName(Now, Beat, Renew);
  HeartbeatRecord &Row = Found->second;
  if (Beat.Sequence_ > Row.LastHeartbeat_.Sequence_)
    Row.LastHeartbeat_ = Beat;
  Row.ReceivedAt_ = Now;
  ChangedWorkers_.insert(Beat.Name_);
  // A new incarnation at the same address may have been published already.
  if (Published_.contains(Beat.Name_) &&
      Published_[Beat.Name_].Incarnation_ == Beat.Incarnation_)
    publish(Row.LastHeartbeat_);
  return Renew;
}

bool UpstreamTable::claimName(TimePoint Now, const wire::Heartbeat &Beat,
                              bool Renew) {
  const auto Replaced = ReplacedIncarnations_.find(Beat.Name_);
  if (Replaced != ReplacedIncarnations_.end() &&
      Replaced->second == Beat.Incarnation_)
    return false;
  const auto Found = Workers_.find(Beat.Name_);
  const bool IsNew = Found == Workers_.end();
  if (!IsNew && Found->second.LastHeartbeat_.Address_ == Beat.Address_)
    publish(Beat);
  if (isReservedForAnother(Beat) ||
      (!IsNew && !hasLeaseExpired(Now, Beat.Name_))) {
    logContestedName(Beat);
    return false;
  }
  ContestedBy_.erase(Beat.Name_);
  if (!IsNew)
    ReplacedIncarnations_[Beat.Name_] =
        Found->second.LastHeartbeat_.Incarnation_;
  Workers_[Beat.Name_] = {.LastHeartbeat_ = Beat, .ReceivedAt_ = Now};
  ChangedWorkers_.insert(Beat.Name_);
  publish(Beat);
  logEvent(Event::UpstreamJoined,
           {{"upstream", Beat.Name_}, {"address", Beat.Address_}});
  return Renew;
}

/// Logs once per incarnation that it was refused its name.
void UpstreamTable::logContestedName(const wire::Heartbeat &Beat) {
  if (std::exchange(ContestedBy_[Beat.Name_], Beat.Incarnation_) !=
      Beat.Incarnation_)
    logEvent(Event::UpstreamContested,
             {{"upstream", Beat.Name_}, {"address", Beat.Address_}});
}

void UpstreamTable::publish(const wire::Heartbeat &Beat) {
  wire::Upstream Next = makeUpstream(Beat);
  const auto Found = Published_.find(Beat.Name_);
  if (Found == Published_.end() || !routesEqually(Found->second, Next)) {
    ++Version_;
    // A newly started agent reports draining until its upstream answers, so
    // only a row that was not draining before has left.
    if (Next.Draining_ && Found != Published_.end() && !Found->second.Draining_)
      logEvent(Event::UpstreamLeft, {{"upstream", Beat.Name_}});
  }
  Published_[Beat.Name_] = std::move(Next);
}

void UpstreamTable::tick(TimePoint Now) {
  std::erase_if(Workers_, [&](const auto &Row) {
    if (!isExpired(Now, Row.second.ReceivedAt_))
      return false;
    logEvent(Event::UpstreamLost, {{"upstream", Row.first}});
    ChangedWorkers_.insert(Row.first);
    Published_.erase(Row.first);
    ReplacedIncarnations_.erase(Row.first);
    ContestedBy_.erase(Row.first);
    ++Version_;
    return true;
  });
  const auto Expired = [&](const auto &Row) {
    return isExpired(Now, Row.second.ReceivedAt_);
  };
  if (std::erase_if(Entries_, Expired) > 0)
    ++Version_;
}

bool UpstreamTable::holdsName(const std::string &Worker,
                              Incarnation Sender) const {
  const auto Found = Workers_.find(Worker);
  return Found != Workers_.end() &&
         Found->second.LastHeartbeat_.Incarnation_ == Sender;
}

bool UpstreamTable::hasLeaseExpired(TimePoint Now,
                                    const std::string &Worker) const {
  const auto Found = Workers_.find(Worker);
  return isExpired(Now, Found == Workers_.end() ? TimePoint()
                                                : Found->second.ReceivedAt_);
}

wire::Upstreams UpstreamTable::upstreams() const {
  wire::Upstreams Result{.Version_ = Version_, .Rows_ = {}, .Entries_ = {}};
  for (const auto &[Name, Row] : Published_)
    Result.Rows_.push_back(Row);
  for (const auto &[Name, Row] : Entries_)
    if (!Row.LastHeartbeat_.Draining_)
      Result.Entries_.push_back({Name, Row.LastHeartbeat_.AvailabilityZone_});
  return Result;
}

std::uint32_t UpstreamTable::liveEntryCount() const {
  const auto LiveEntries = std::ranges::count_if(Entries_, [](const auto &Row) {
    return !Row.second.LastHeartbeat_.Draining_;
  });
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(LiveEntries));
}

} // namespace dragonfly::control
