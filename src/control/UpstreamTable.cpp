#include "dragonfly/control/UpstreamTable.h"

#include "dragonfly/base/Log.h"

#include <algorithm>
#include <utility>

namespace dragonfly::control {
namespace {

/// Versions per term of the log; a leader changes its table less often.
constexpr unsigned VersionBitsPerTerm = 24;

wire::Upstream upstreamOf(const wire::Heartbeat &Beat) {
  return {.Name_ = Beat.Name_,
          .Incarnation_ = Beat.Incarnation_,
          .AvailabilityZone_ = Beat.AvailabilityZone_,
          .Rack_ = Beat.Rack_,
          .Address_ = Beat.Address_,
          .Draining_ = Beat.Draining_,
          .Vm_ = Beat.Vm_};
}

/// True where entries would route otherwise.
bool routesAlike(const wire::Upstream &A, const wire::Upstream &B) {
  return A.Incarnation_ == B.Incarnation_ && A.Address_ == B.Address_ &&
         A.Draining_ == B.Draining_ && A.Vm_.Slots_ == B.Vm_.Slots_ &&
         A.AvailabilityZone_ == B.AvailabilityZone_ && A.Rack_ == B.Rack_;
}

/// True where the slots would be divided among the entries as before.
bool sharesAlike(const wire::Heartbeat &A, const wire::Heartbeat &B) {
  return A.Name_ == B.Name_ && A.AvailabilityZone_ == B.AvailabilityZone_ &&
         A.Draining_ == B.Draining_;
}

} // namespace

UpstreamTable::UpstreamTable(UpstreamTableOptions Options)
    : Options_(std::move(Options)) {}

bool UpstreamTable::ranOut(TimePoint Now, TimePoint HeardAt) const {
  return Now - std::max(LeadingSince_, HeardAt) >
         Options_.LeaseTerm_ + Options_.DriftMargin_;
}

void UpstreamTable::lead(TimePoint Now, Term Value) {
  LeadingSince_ = Now;
  Version_ = std::max(Version_ + 1, Value.Value_ << VersionBitsPerTerm);
  std::erase_if(Workers_, [this](const auto &Row) {
    return belongsToAnother(Row.second.LastHeartbeat_);
  });
  // A holder that this replica took for replaced may come back.
  Retired_.clear();
}

bool UpstreamTable::belongsToAnother(const wire::Heartbeat &Beat) const {
  const Incarnation Holder = Options_.HolderOfTasks_
                                 ? Options_.HolderOfTasks_(Beat.Name_)
                                 : Incarnation{};
  return Holder && Holder != Beat.Incarnation_;
}

bool UpstreamTable::heartbeat(TimePoint Now, const wire::Heartbeat &Beat,
                              bool Renew) {
  if (Beat.Role_ == wire::Role::Agent)
    return heartbeatOfAgent(Now, Beat, Renew);
  if (Beat.Role_ == wire::Role::Entry) {
    HeartbeatRecord &Row = Entries_[Beat.Name_];
    if (!sharesAlike(Row.LastHeartbeat_, Beat))
      ++Version_;
    Row.LastHeartbeat_ = Beat;
    Row.ReceivedAt_ = Now;
  }
  return Renew;
}

bool UpstreamTable::heartbeatOfAgent(TimePoint Now, const wire::Heartbeat &Beat,
                                     bool Renew) {
  const auto Found = Workers_.find(Beat.Name_);
  if (Found == Workers_.end() ||
      Found->second.LastHeartbeat_.Incarnation_ != Beat.Incarnation_)
    return takeOver(Now, Beat, Renew);
  HeartbeatRecord &Row = Found->second;
  if (Beat.Sequence_ > Row.LastHeartbeat_.Sequence_)
    Row.LastHeartbeat_ = Beat;
  Row.ReceivedAt_ = Now;
  Changed_.insert(Beat.Name_);
  // A challenger at the same address may have been published already.
  if (Published_.contains(Beat.Name_) &&
      Published_[Beat.Name_].Incarnation_ == Beat.Incarnation_)
    publish(Row.LastHeartbeat_);
  return Renew;
}

bool UpstreamTable::takeOver(TimePoint Now, const wire::Heartbeat &Beat,
                             bool Renew) {
  const auto Retired = Retired_.find(Beat.Name_);
  if (Retired != Retired_.end() && Retired->second == Beat.Incarnation_)
    return false;
  const auto Found = Workers_.find(Beat.Name_);
  const bool IsNew = Found == Workers_.end();
  if (!IsNew && Found->second.LastHeartbeat_.Address_ == Beat.Address_)
    publish(Beat);
  if (belongsToAnother(Beat) || (!IsNew && !hasLeaseExpired(Now, Beat.Name_))) {
    contest(Beat);
    return false;
  }
  Contested_.erase(Beat.Name_);
  if (!IsNew)
    Retired_[Beat.Name_] = Found->second.LastHeartbeat_.Incarnation_;
  Workers_[Beat.Name_] = {.LastHeartbeat_ = Beat, .ReceivedAt_ = Now};
  Changed_.insert(Beat.Name_);
  publish(Beat);
  logEvent(Event::UpstreamJoined,
           {{"upstream", Beat.Name_}, {"address", Beat.Address_}});
  return Renew;
}

/// Logs a refused claim to a name, once per incarnation.
void UpstreamTable::contest(const wire::Heartbeat &Beat) {
  if (std::exchange(Contested_[Beat.Name_], Beat.Incarnation_) !=
      Beat.Incarnation_)
    logEvent(Event::UpstreamContested,
             {{"upstream", Beat.Name_}, {"address", Beat.Address_}});
}

void UpstreamTable::publish(const wire::Heartbeat &Beat) {
  wire::Upstream Next = upstreamOf(Beat);
  const auto Found = Published_.find(Beat.Name_);
  if (Found == Published_.end() || !routesAlike(Found->second, Next)) {
    ++Version_;
    // An agent that has just started is draining until its upstream answers.
    if (Next.Draining_ && Found != Published_.end() && !Found->second.Draining_)
      logEvent(Event::UpstreamLeft, {{"upstream", Beat.Name_}});
  }
  Published_[Beat.Name_] = std::move(Next);
}

void UpstreamTable::tick(TimePoint Now) {
  std::erase_if(Workers_, [&](const auto &Row) {
    if (!ranOut(Now, Row.second.ReceivedAt_))
      return false;
    logEvent(Event::UpstreamLost, {{"upstream", Row.first}});
    Changed_.insert(Row.first);
    Published_.erase(Row.first);
    Retired_.erase(Row.first);
    Contested_.erase(Row.first);
    ++Version_;
    return true;
  });
  const auto Gone = [&](const auto &Row) {
    return ranOut(Now, Row.second.ReceivedAt_);
  };
  if (std::erase_if(Entries_, Gone) > 0)
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
  return ranOut(Now, Found == Workers_.end() ? TimePoint()
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
  const auto Serving = std::ranges::count_if(Entries_, [](const auto &Row) {
    return !Row.second.LastHeartbeat_.Draining_;
  });
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(Serving));
}

} // namespace dragonfly::control
