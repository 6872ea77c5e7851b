#include "dragonfly/agent/Agent.h"

#include "agent/HttpUpstream.h"
#include "dragonfly/agent/AgentCore.h"
#include "dragonfly/base/Histogram.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"
#include "dragonfly/net/GracefulStop.h"
#include "dragonfly/net/HttpServer.h"

#include <string>
#include <utility>

namespace dragonfly::agent {
namespace {

/// Bytes queued to an entry beyond which a streamed answer is given up.
constexpr std::size_t MaxQueuedBytes = 4U << 20U;

constexpr std::uint16_t Ok = 200;
constexpr std::uint16_t NotFound = 404;
constexpr std::uint16_t Unavailable = 503;

} // namespace

struct Agent::Impl {
  Impl(net::EventLoop &Loop, settings::AgentSettings Settings)
      : Loop_(Loop), Self_(makeFreshId<Incarnation>()),
        Upstream_(Loop, net::Endpoint::make(Settings.Upstream_),
                  Settings.Connections_),
        Core_(Loop, {.Settings_ = Settings,
                     .Self_ = Self_,
                     .Upstream_ = Upstream_.hooks()}),
        Server_(Loop,
                {.Listen_ = net::Endpoint::make(Settings.Listen_),
                 .Self_ = Self_,
                 .OnMessage_ =
                     [this](wire::Message Value, net::FrameReplier Reply) {
                       take(std::move(Value), std::move(Reply));
                     }}),
        Status_(Loop, {.Name_ = "status",
                       .Listen_ = net::Endpoint::make(Settings.StatusListen_),
                       .OnRequest_ =
                           [this](const net::HttpRequest &Request,
                                  const net::HttpReplier &Reply) {
                             answerStatus(Request, Reply);
                           }}),
        Stop_(Loop, {.Bound_ = Settings.Process_.StopBound_}) {}

  void take(wire::Message Value, net::FrameReplier Reply) {
    if (auto *Request = std::get_if<wire::Execute>(&Value))
      execute(std::move(*Request), std::move(Reply));
    else if (const auto *Cancel = std::get_if<wire::CancelExecute>(&Value))
      Core_.cancel(Cancel->Key_);
    else
      Reply.answer(wire::Refusal{});
  }

  void execute(wire::Execute Request, net::FrameReplier Reply) {
    const wire::RequestKey Key = Request.Key_;
    ExecuteHooks Hooks;
    Hooks.OnEnd_ = [this, Reply, Customer = Key.Customer_,
                    Kind = Request.Kind_](wire::ExecuteResult Result) {
      if (Result.Outcome_ == Outcome::Completed)
        ServiceTimes_.record({Customer, Kind}, Result.ServiceTime_);
      Reply.answer(std::move(Result));
    };
    Hooks.OnPart_ = [this, Reply, Key](wire::ExecutePart Part) {
      // An entry that is gone or does not keep up loses the stream.
      if (!Reply.connected() || Reply.queuedBytes() > MaxQueuedBytes)
        Loop_.post([this, Key] { Core_.cancel(Key); });
      else
        Reply.part(std::move(Part));
    };
    Core_.execute(std::move(Request), std::move(Hooks));
  }

  void answerStatus(const net::HttpRequest &Request,
                    const net::HttpReplier &Reply) const {
    if (Request.Target_ == "/v1/histograms") {
      Reply.reply({.Body_ = printHistograms(ServiceTimes_)});
      return;
    }
    const bool Known =
        Request.Target_ == "/healthz" || Request.Target_ == "/readyz";
    const bool Ready =
        Request.Target_ == "/healthz" || Core_.mayAccept() == Reason::None;
    Reply.reply({.Status_ = !Known  ? NotFound
                            : Ready ? Ok
                                    : Unavailable,
                 .ContentType_ = "text/plain",
                 .Body_ = std::string(enumName(Core_.mayAccept())) + "\n"});
  }

  void stop(std::function<void(bool)> OnStopped) {
    if (Stop_.hasBegun())
      return;
    Stop_.add(Status_.stopPart());
    Stop_.add(Server_.stopPart("frames"));
    Stop_.add({.Name_ = "work", .Unfinished_ = [this] {
                 return CoreStopped_ ? std::size_t(0) : std::size_t(1);
               }});
    Core_.stop([this](bool Clean) {
      CoreStopped_ = true;
      Clean_ = Clean;
    });
    Stop_.begin([this, OnStopped = std::move(OnStopped)](net::StopResult End) {
      OnStopped(Clean_ && End == net::StopResult::Finished);
    });
  }

  net::EventLoop &Loop_;
  Incarnation Self_;
  /// How long the upstream took, per customer and kind.
  HistogramTable ServiceTimes_;
  HttpUpstream Upstream_;
  AgentCore Core_;
  net::FrameServer Server_;
  net::HttpServer Status_;
  bool CoreStopped_ = false;
  bool Clean_ = false;
  /// The core keeps the bound of the settings itself.
  net::GracefulStop Stop_;
};

Agent::Agent(net::EventLoop &Loop, settings::AgentSettings Settings)
    : Impl_(std::make_unique<Impl>(Loop, std::move(Settings))) {}

Agent::~Agent() = default;

void Agent::stop(std::function<void(bool)> OnStopped) {
  Impl_->stop(std::move(OnStopped));
}

} // namespace dragonfly::agent
