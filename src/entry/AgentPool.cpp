#include "entry/AgentPool.h"

#include "dragonfly/net/EventLoop.h"

#include <algorithm>
#include <utility>

namespace dragonfly::entry {

void AgentPool::setUpstreams(const std::vector<wire::Upstream> &Rows) {
  std::erase_if(Retired_,
                [](const auto &Client) { return Client->pendingCalls() == 0; });
  std::unordered_map<std::string, Row> Before = std::exchange(Rows_, {});
  for (const wire::Upstream &Upstream : Rows) {
    Row Kept = std::move(Before[Upstream.Name_]);
    if (Kept.Address_ != Upstream.Address_) {
      retire(std::move(Kept));
      Kept = {.Address_ = Upstream.Address_,
              .Client_ = std::make_unique<net::FrameClient>(
                  Loop_, net::FrameClientOptions{
                             .Peer_ = net::Endpoint::make(Upstream.Address_),
                             .Self_ = Self_})};
    }
    Rows_.insert_or_assign(Upstream.Name_, std::move(Kept));
  }
  for (auto &[Name, Left] : Before)
    retire(std::move(Left));
}

void AgentPool::retire(Row Left) {
  if (Left.Client_ && Left.Client_->pendingCalls() > 0)
    Retired_.push_back(std::move(Left.Client_));
}

void AgentPool::call(AgentCall Call) {
  const auto Found = Rows_.find(Call.Worker_);
  if (Found == Rows_.end()) {
    Loop_.post([OnEnd = std::move(Call.OnEnd_)] {
      OnEnd({.Status_ = net::CallStatus::NeverSent});
    });
    return;
  }
  Found->second.Client_->call(Call.Request_, Call.Timeout_,
                              std::move(Call.OnEnd_), std::move(Call.OnPart_));
}

void AgentPool::tell(const std::string &Worker, const wire::Message &Value) {
  if (const auto Found = Rows_.find(Worker); Found != Rows_.end())
    Found->second.Client_->send(Value);
}

} // namespace dragonfly::entry
