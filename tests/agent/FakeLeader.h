/// A leader of control that keeps what an agent tells it.
#ifndef DRAGONFLY_TESTS_AGENT_FAKELEADER_H
#define DRAGONFLY_TESTS_AGENT_FAKELEADER_H

#include "agent/FakeWorker.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"
#include "dragonfly/wire/Messages.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace dragonfly::agent {
/// A leader that opens sessions, renews leases and keeps what it is told.
class FakeLeader {
public:
  explicit FakeLeader(net::EventLoop &Loop)
      : Server_(Loop, {.Listen_ = {.Address_ = "127.0.0.1", .Port_ = 0},
                       .Self_ = {2},
                       .OnMessage_ =
                           [this](wire::Message Request,
                                  const net::FrameReplier &To) {
                             take(std::move(Request), To);
                           }}),
        KeepAlives_(Loop.every(milliseconds(500), [this] {
          for (const auto &[Session, Stream] : Streams_)
            Stream.part(orders(Session));
        })) {}

  std::string address() const { return Server_.endpoint().text(); }

  /// The session of an agent that was killed counts for nothing any more.
  void endSession() { Reconciled_.clear(); }
  /// Reports on the open session are refused, as by a new leader.
  void refuseSession() { ++Session_; }

  /// While set, no request is answered.
  void setSilent(bool Silent) { Silent_ = Silent; }
  /// Reports on the open session get no answer, as from a leader that has been
  /// replaced and does not know it.
  void loseReports() { LostSession_ = Session_; }

  /// Reports with ends are taken, and their answers wait for `releaseAcks`.
  void holdAcks() { HoldsAcks_ = true; }
  void releaseAcks() {
    HoldsAcks_ = false;
    for (const net::FrameReplier &To : std::exchange(HeldAcks_, {}))
      To.answer(wire::WorkerReportAck{.LeaseTerm_ = LeaseTerm_});
  }
  /// Answers that are held are lost, as with a leader that is lost before its
  /// commit.
  void loseAcks() {
    HoldsAcks_ = false;
    HeldAcks_.clear();
  }

  /// Sends an order on the newest session.
  void order(wire::WorkerOrders Orders) {
    Orders.Session_ = Session_;
    Orders.Fence_ = Fence_;
    for (const wire::StartOrder &Start : Orders.Starts_)
      Recorded_[Start.Run_] = Hellos_.back().Worker_;
    Streams_.at(Session_).part(Orders);
  }

  /// Whether the worker has reported all of its runs in its newest session.
  bool isReconciled(const std::string &Worker) const {
    return !Hellos_.empty() && Hellos_.back().Worker_ == Worker &&
           Reconciled_.contains(Session_);
  }
  /// Runs in the newest report.
  std::vector<jobs::RunName> reportedRuns() const {
    std::vector<jobs::RunName> Runs;
    if (!Reports_.empty())
      std::ranges::transform(Reports_.back().Runs_, std::back_inserter(Runs),
                             &wire::RunReport::Run_);
    return Runs;
  }

  std::vector<wire::WorkerHello> Hellos_;
  std::vector<wire::WorkerReport> Reports_;
  std::vector<wire::EndReport> Ends_;
  std::vector<wire::WorkerGone> Gone_;
  std::vector<wire::WorkerCrashed> Crashes_;
  /// Notices of a crash that get no answer and are not kept.
  int LostCrashes_ = 0;
  Duration LeaseTerm_ = milliseconds(4000);
  /// Ends told until the first complete report of the newest session.
  std::size_t EndsWhenReconciled_ = 0;

private:
  wire::WorkerOrders orders(std::uint64_t Session) const {
    return {.Session_ = Session, .Fence_ = Fences_.at(Session)};
  }

  void takeCrash(const jobs::WorkerCrash &Crash, const net::FrameReplier &To) {
    if (LostCrashes_ > 0) {
      --LostCrashes_;
      return;
    }
    Crashes_.push_back({Crash});
    To.answer(wire::WorkerReportAck{});
  }

  void take(wire::Message Request, const net::FrameReplier &To) {
    if (Silent_)
      return;
    if (std::holds_alternative<wire::FetchGroup>(Request)) {
      To.answer(wire::Group{.Rows_ = {{.Id_ = {1}, .Address_ = address()}},
                            .Leader_ = address()});
    } else if (auto *Hello = std::get_if<wire::WorkerHello>(&Request)) {
      Streams_.clear();
      // Each process and each life of a worker has a token of its own.
      const auto Key =
          std::make_tuple(Hello->Worker_, Hello->Born_, Hello->Agent_.Value_);
      Fence_ = Tokens_.try_emplace(Key, Tokens_.size() + 1).first->second;
      Fences_[++Session_] = Fence_;
      Streams_.emplace(Session_, To);
      wire::WorkerOrders First = orders(Session_);
      for (const auto &[Run, Worker] : Recorded_)
        if (Worker == Hello->Worker_)
          First.Known_.push_back({.Run_ = Run});
      To.part(std::move(First));
      Hellos_.push_back(std::move(*Hello));
    } else if (auto *Report = std::get_if<wire::WorkerReport>(&Request)) {
      if (Report->Session_ == LostSession_)
        return;
      if (Report->Session_ != Session_) {
        To.answer(wire::WorkerReportAck{.SessionEnded_ = true});
        return;
      }
      Ends_.insert(Ends_.end(), Report->Ends_.begin(), Report->Ends_.end());
      for (const wire::EndReport &End : Report->Ends_)
        Recorded_.erase(End.Run_);
      if (Report->Complete_ && Reconciled_.insert(Session_).second)
        EndsWhenReconciled_ = Ends_.size();
      const bool HasEnds = !Report->Ends_.empty();
      Reports_.push_back(std::move(*Report));
      if (HoldsAcks_ && HasEnds)
        HeldAcks_.push_back(To);
      else
        To.answer(wire::WorkerReportAck{.LeaseTerm_ = LeaseTerm_});
    } else if (const auto *Crashed =
                   std::get_if<wire::WorkerCrashed>(&Request)) {
      takeCrash(Crashed->Crash_, To);
    } else if (const auto *Unconfirmed =
                   std::get_if<wire::UnconfirmedCrash>(&Request)) {
      takeCrash(Unconfirmed->Crash_, To);
    } else if (auto *Gone = std::get_if<wire::WorkerGone>(&Request)) {
      if (!Hellos_.empty() && Hellos_.back().Worker_ == Gone->Worker_)
        Streams_.clear();
      Gone_.push_back(std::move(*Gone));
      To.answer(wire::WorkerReportAck{});
    }
  }

  net::FrameServer Server_;
  std::vector<net::FrameReplier> HeldAcks_;
  bool HoldsAcks_ = false;
  std::map<std::uint64_t, net::FrameReplier> Streams_;
  std::map<std::uint64_t, std::uint64_t> Fences_;
  std::map<std::tuple<std::string, std::uint64_t, std::uint64_t>, std::uint64_t>
      Tokens_;
  std::set<std::uint64_t> Reconciled_;
  /// Runs that were ordered and of which no end was told, with their workers.
  std::map<jobs::RunName, std::string> Recorded_;
  std::uint64_t Session_ = 0;
  std::optional<std::uint64_t> LostSession_;
  std::uint64_t Fence_ = 0;
  bool Silent_ = false;
  net::Timer KeepAlives_;
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_TESTS_AGENT_FAKELEADER_H
