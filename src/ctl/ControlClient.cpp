#include "dragonfly/ctl/ControlClient.h"

#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/HttpClient.h"
#include "dragonfly/net/NetError.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace dragonfly::ctl {
namespace {

constexpr std::uint16_t TemporaryRedirect = 307;
constexpr std::uint16_t ServiceUnavailable = 503;

/// Returns the endpoint of "http://ADDRESS:PORT/...", if there is one.
std::optional<net::Endpoint> endpointOf(std::string_view Location) {
  constexpr std::string_view Scheme = "http://";
  if (!Location.starts_with(Scheme))
    return std::nullopt;
  Location.remove_prefix(Scheme.size());
  try {
    return net::Endpoint::make(Location.substr(0, Location.find('/')));
  } catch (const net::NetError &) {
    return std::nullopt;
  }
}

} // namespace

struct ControlClient::Impl {
  Impl(net::EventLoop &Loop, ControlClientOptions Options)
      : Loop_(Loop), Options_(std::move(Options)) {}

  /// Runs the loop until \p Done; false where nothing is left to wait for.
  bool runUntil(const std::function<bool()> &Done) {
    while (!Done()) {
      Loop_.context().restart();
      if (Loop_.context().run_one() == 0)
        return Done();
    }
    return true;
  }

  void wait(Duration Delay) {
    bool Fired = false;
    const net::Timer Pending = Loop_.after(Delay, [&Fired] { Fired = true; });
    runUntil([&Fired] { return Fired; });
  }

  net::HttpResult exchange(const net::Endpoint &Peer,
                           const net::HttpRequest &Request) {
    auto &Client = Clients_[Peer.text()];
    if (!Client)
      Client = std::make_unique<net::HttpClient>(
          Loop_, net::HttpClientOptions{.Peer_ = Peer});
    const auto Result = std::make_shared<std::optional<net::HttpResult>>();
    Client->request(
        Request, Options_.TryTimeout_,
        [Result](net::HttpResult Answer) { *Result = std::move(Answer); });
    if (!runUntil([Result] { return Result->has_value(); }))
      return {.Status_ = net::CallStatus::Lost, .Response_ = {}};
    return **Result;
  }

  /// Moves on to the replica at the next position.
  void turn() {
    Position_ = (Position_ + 1) % Options_.Control_.size();
    Current_ = Options_.Control_[Position_];
  }

  net::EventLoop &Loop_;
  ControlClientOptions Options_;
  std::map<std::string, std::unique_ptr<net::HttpClient>> Clients_;
  std::size_t Position_ = 0;
  net::Endpoint Current_;
};

ControlClient::ControlClient(net::EventLoop &Loop, ControlClientOptions Options)
    : Impl_(std::make_unique<Impl>(Loop, std::move(Options))) {
  if (!Impl_->Options_.Control_.empty())
    Impl_->Current_ = Impl_->Options_.Control_.front();
}

ControlClient::~ControlClient() = default;

ControlAnswer ControlClient::call(const net::HttpRequest &Request) {
  if (Impl_->Options_.Control_.empty())
    return {};
  bool MayHaveActed = false;
  for (std::uint32_t Try = 0; Try < Impl_->Options_.MaxTries_; ++Try) {
    net::HttpResult Result = Impl_->exchange(Impl_->Current_, Request);
    const bool Answered = Result.Status_ == net::CallStatus::Answered;
    const std::uint16_t Status = Answered ? Result.Response_.Status_ : 0;
    if (Status == TemporaryRedirect) {
      const auto Leader = endpointOf(Result.Response_.header("Location"));
      if (Leader && *Leader != Impl_->Current_) {
        Impl_->Current_ = *Leader;
        continue;
      }
    } else if (Answered && Status != ServiceUnavailable) {
      return {.End_ = CallEnd::Answered,
              .Response_ = std::move(Result.Response_)};
    }
    if (Status != TemporaryRedirect &&
        Result.Status_ != net::CallStatus::NeverSent)
      MayHaveActed = true;
    Impl_->turn();
    Impl_->wait(Impl_->Options_.RetryDelay_);
  }
  return {.End_ = MayHaveActed ? CallEnd::Unknown : CallEnd::Unavailable,
          .Response_ = {}};
}

} // namespace dragonfly::ctl
