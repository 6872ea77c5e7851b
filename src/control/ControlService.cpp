#include "control/ControlServiceImpl.h"

#include <utility>

namespace dragonfly::control {

ControlService::ControlService(ControlServiceOptions Options,
                               std::unique_ptr<consensus::Storage> Disk,
                               TimePoint Now)
    : Impl_(std::make_unique<Impl>(std::move(Options), std::move(Disk), Now)) {}

ControlService::~ControlService() = default;

void ControlService::tick(TimePoint Now) { Impl_->tick(Now); }

void ControlService::receivePeer(TimePoint Now, ReplicaId From,
                                 std::string_view Bytes) {
  Impl_->Now_ = Now;
  Impl_->NamedStale_ = true;
  Impl_->Log_.receive(Now, From, Bytes);
}

std::optional<wire::HeartbeatAck>
ControlService::heartbeat(TimePoint Now, const wire::Heartbeat &Beat) {
  return Impl_->heartbeat(Now, Beat);
}

void ControlService::handle(TimePoint Now, wire::Message Request,
                            Reply Answer) {
  Impl_->Now_ = Now;
  Impl_->handle(std::move(Request), std::move(Answer));
}

void ControlService::attachWorker(TimePoint Now, wire::WorkerHello Hello,
                                  WorkerStream Stream) {
  Impl_->Now_ = Now;
  if (Impl_->Serving_)
    Impl_->Jobs_.attachWorker(Now, std::move(Hello), std::move(Stream));
  else
    Stream.SendEnd_(Impl_->refusal());
}

wire::Group ControlService::group() const { return Impl_->group(); }

void ControlService::putList(
    PutList Change, std::function<void(ProposeStatus, PutOutcome)> Done) {
  const ListName List = Change.List_;
  Impl_->propose(std::move(Change), [List, Done = std::move(Done)](
                                        ProposeStatus Status,
                                        const CommandOutput &Output) {
    if (Status != ProposeStatus::Committed)
      return Done(Status, {});
    const auto &Result = std::get<PutOutcome>(Output);
    const bool Accepted = Result.Status_ == PutStatus::Accepted;
    logEvent(Accepted ? Event::ListAccepted : Event::ListRejected,
             {{"list", enumName(List)},
              {"status", enumName(Result.Status_)},
              {"version", Result.CurrentVersion_.Value_}});
    Done(Status, Result);
  });
}

void ControlService::setEvacuation(
    SetEvacuation Change,
    std::function<void(ProposeStatus, jobs::EvacuationStatus)> Done) {
  Impl_->Jobs_.setEvacuation(std::move(Change), std::move(Done));
}

void ControlService::readBarrier(std::function<void(bool)> Done) {
  Impl_->Log_.readBarrier(std::move(Done));
}

void ControlService::changeMember(consensus::Member Target, bool Remove,
                                  std::function<void(ProposeStatus)> Done) {
  const std::uint64_t Replica = Target.Id_.Value_;
  Impl_->Log_.changeMember(std::move(Target), Remove,
                           [Replica, Done = std::move(Done)](
                               const consensus::ProposeResult &Result) {
                             if (Result.Status_ == ProposeStatus::Committed)
                               logEvent(Event::MemberChanged,
                                        {{"replica", Replica}});
                             Done(Result.Status_);
                           });
}

bool ControlService::isVoter() const { return Impl_->isVoter(); }

bool ControlService::serving() const { return Impl_->Serving_; }

void ControlService::transferLeadership() { Impl_->Log_.transferLeadership(); }

const settings::ReplicaSettings *ControlService::leader() const {
  return Impl_->leader();
}

const StateMachine &ControlService::state() const { return Impl_->Machine_; }

const UpstreamTable &ControlService::upstreams() const {
  return Impl_->Upstreams_;
}

const consensus::ReplicatedLog &ControlService::log() const {
  return Impl_->Log_;
}

} // namespace dragonfly::control
