#include "dragonfly/entry/Entry.h"

#include "dragonfly/base/Histogram.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/entry/CallerInterface.h"
#include "dragonfly/entry/EntryCore.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/HttpServer.h"
#include "entry/AgentPool.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace dragonfly::entry {
namespace {

/// How often readiness is checked.
constexpr Duration ReadyPeriod = std::chrono::milliseconds(20);
/// An entry that has just started lets callers wait until its configuration is
/// in force, but not longer than this; then it answers that it is not ready.
constexpr Duration MaxAcceptDelay = std::chrono::seconds(5);
/// How long a stopping entry still accepts, so that the balancer notices.
constexpr Duration AcceptAfterStop = std::chrono::seconds(1);
/// Part of the stop bound in which callers take answers that were cut off.
constexpr Duration StopReserve = std::chrono::milliseconds(300);

} // namespace

struct Entry::Impl : std::enable_shared_from_this<Entry::Impl> {
  Impl(net::EventLoop &Loop, settings::EntrySettings Settings)
      : Loop_(Loop), Settings_(std::move(Settings)),
        Self_(makeFreshId<Incarnation>()), Agents_(Loop, Self_),
        Server_(Loop, serverOptions()), Core_(Loop, coreOptions()),
        Callers_(Core_.requests(), Latencies_,
                 {.Ready_ = [this] { return ready(); },
                  .CallControl_ =
                      [this](wire::Message Value, Duration Timeout,
                             net::FrameClient::Handler OnEnd) {
                        Core_.link().callLeader(std::move(Value), Timeout,
                                                std::move(OnEnd));
                      }}) {
    ReadyCheck_ = Loop_.every(ReadyPeriod, [this] { logReadiness(); });
    FirstAccept_ =
        Loop_.after(MaxAcceptDelay, [this] { Server_.startAccepting(); });
  }

  EntryCoreOptions coreOptions() {
    return {
        .Settings_ = Settings_,
        .Self_ = Self_,
        .Address_ = Server_.endpoint().text(),
        .CallAgent_ = [this](AgentCall Call) { Agents_.call(std::move(Call)); },
        .TellAgent_ =
            [this](const std::string &Worker, const wire::Message &Value) {
              Agents_.tell(Worker, Value);
            },
        .OnUpstreams_ =
            [this](const std::vector<wire::Upstream> &Rows) {
              Agents_.setUpstreams(Rows);
            },
        .OnCompleted_ =
            [this](const std::string &Customer, const std::string &Kind,
                   Duration Latency) {
              Latencies_.record({Customer, Kind}, Latency);
            }};
  }

  net::HttpServerOptions serverOptions() {
    return {.Name_ = "callers",
            .Listen_ = net::Endpoint::make(Settings_.Listen_),
            .MaxConnections_ = Settings_.MaxConnections_,
            .MaxHeaderBytes_ = Settings_.MaxHeaderBytes_,
            .MaxBodyBytes_ = Settings_.MaxBodyBytes_,
            .IdleTimeout_ = Settings_.IdleTimeout_,
            .AcceptAtOnce_ = false,
            .OnRequest_ = [this](net::HttpRequest Request,
                                 const net::HttpReplier &Replier) {
              Callers_.handle(std::move(Request), Replier);
            }};
  }

  bool ready() const { return !Stopping_ && Core_.ready(); }

  void logReadiness() {
    const bool Ready = ready();
    if (std::exchange(WasReady_, Ready) != Ready)
      logEvent(Ready ? Event::EntryReady : Event::EntryNotReady);
    if (Ready)
      Server_.startAccepting();
  }

  void stop(std::function<void(StopResult)> OnStopped) {
    if (std::exchange(Stopping_, true))
      return;
    OnStopped_ = std::move(OnStopped);
    // Callers that wait for the first acceptance are answered as well.
    Server_.startAccepting();
    Core_.announceStop();
    StopBound_ = Loop_.after(Settings_.Process_.StopBound_, [this] {
      logEvent(Event::StopBoundReached,
               {{"in_progress", Core_.requests().inProgress()},
                {"receipts", Core_.pendingReceipts()}});
      stopped(StopResult::BoundReached);
    });
    Stop_.add(Server_.stopPart());
    Stop_.add(
        {.Name_ = "requests",
         .OnRefusing_ = [this] { Core_.requests().drain(); },
         .Unfinished_ = [this] { return Core_.requests().inProgress(); }});
    Stop_.begin([this](StopResult Result) {
      if (Result == StopResult::Finished)
        Core_.flushReceipts([this] { stopped(StopResult::Finished); });
      else
        stopped(Result);
    });
  }

  void stopped(StopResult Result) {
    StopBound_.cancel();
    if (const auto OnStopped = std::exchange(OnStopped_, nullptr))
      OnStopped(Result);
  }

  net::EventLoop &Loop_;
  settings::EntrySettings Settings_;
  Incarnation Self_;
  HistogramTable Latencies_;
  AgentPool Agents_;
  net::HttpServer Server_;
  EntryCore Core_;
  CallerInterface Callers_;
  net::Timer ReadyCheck_;
  net::Timer FirstAccept_;
  net::Timer StopBound_;
  net::GracefulStop Stop_{
      Loop_,
      {.ServeTime_ = AcceptAfterStop,
       .Bound_ = std::max(Settings_.Process_.StopBound_ - StopReserve,
                          Settings_.Process_.StopBound_ / 2)}};
  std::function<void(StopResult)> OnStopped_;
  bool WasReady_ = false;
  bool Stopping_ = false;
};

Entry::Entry(net::EventLoop &Loop, const settings::EntrySettings &Settings)
    : Impl_(std::make_shared<Impl>(Loop, Settings)) {}

Entry::~Entry() = default;

void Entry::stop(std::function<void(StopResult)> OnStopped) {
  Impl_->stop(std::move(OnStopped));
}

bool Entry::ready() const { return Impl_->ready(); }

net::Endpoint Entry::endpoint() const { return Impl_->Server_.endpoint(); }

} // namespace dragonfly::entry
