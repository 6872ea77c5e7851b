#include "support/LoadGenerator.h"

#include "dragonfly/base/Random.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/HttpClient.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <utility>

namespace dragonfly::load {
namespace {

/// How often due requests are sent.
constexpr Duration SendPeriod = std::chrono::microseconds(500);
/// How long one send waits for its answer.
constexpr Duration SendTimeout = std::chrono::seconds(60);

/// One request until its answer.
struct Sending {
  std::size_t Row_ = 0;
  std::string RequestId_;
  TimePoint Intended_;
  std::uint32_t Sends_ = 0;
  std::size_t Target_ = 0;
};

/// When a row's next request is due.
struct Due {
  TimePoint At_;
  std::size_t Row_ = 0;

  bool operator>(const Due &Other) const { return At_ > Other.At_; }
};

struct RowState {
  LoadResult Result_;
  std::vector<Duration> Latencies_;
};

/// Returns a body that names its request, padded to \p Bytes; a task's answer
/// echoes it.
std::string makeBody(const std::string &RequestId, std::size_t Bytes) {
  std::string Body = R"({"request_id":")" + RequestId + "\"}";
  Body.resize(std::max(Body.size(), Bytes), ' ');
  return Body;
}

/// True where the body is the whole answer to \p RequestId.
bool ownAnswer(const std::string &Body, const std::string &RequestId) {
  const bool Named = Body.find("\"" + RequestId + "\"") != std::string::npos;
  const bool InParts = Body.find("\"parts_left\"") != std::string::npos;
  return Named &&
         (!InParts || Body.find("\"parts_left\":0}") != std::string::npos);
}

Duration quantile(const std::vector<Duration> &Sorted, double Share) {
  if (Sorted.empty())
    return Duration::zero();
  const auto Last = static_cast<double>(Sorted.size() - 1);
  return Sorted[static_cast<std::size_t>(std::lround(Share * Last))];
}

} // namespace

struct LoadGenerator::Impl : std::enable_shared_from_this<LoadGenerator::Impl> {
  Impl(net::EventLoop &Loop, LoadPlan Plan,
       std::function<void(std::vector<LoadResult>)> OnDone)
      : Loop_(Loop), Plan_(std::move(Plan)), OnDone_(std::move(OnDone)),
        Random_(Plan_.Seed_), EndsAt_(Clock::now() + Plan_.Length_) {
    for (std::size_t Number = 0;
         Number < Plan_.Rows_.size() * Plan_.Targets_.size(); ++Number)
      Clients_.push_back(std::make_unique<net::HttpClient>(
          Loop_, net::HttpClientOptions{
                     .Peer_ = Plan_.Targets_[Number % Plan_.Targets_.size()],
                     .MaxConnections_ = Plan_.ConnectionsPerTarget_,
                     .MaxWaiting_ = 1U << 20U}));
    for (const LoadRow &Row : Plan_.Rows_)
      Rows_.push_back(
          {.Result_ = {.Customer_ = Row.Customer_, .Kind_ = Row.Kind_}});
  }

  void start() {
    const TimePoint Now = Clock::now();
    for (std::size_t Row = 0; Row < Plan_.Rows_.size(); ++Row) {
      if (Plan_.Rows_[Row].RatePerSecond_ > 0)
        schedule(Row, Now);
      for (std::uint32_t Count = 0; Plan_.Rows_[Row].RatePerSecond_ <= 0 &&
                                    Count < Plan_.Rows_[Row].Concurrency_;
           ++Count)
        begin(Row, Now);
    }
    Ticks_ = Loop_.every(SendPeriod, [this] { tick(Clock::now()); });
  }

  void schedule(std::size_t Row, TimePoint From) {
    std::exponential_distribution<double> Interval(
        Plan_.Rows_[Row].RatePerSecond_);
    const std::chrono::duration<double> Wait(Interval(Random_));
    Due_.push({From + std::chrono::duration_cast<Duration>(Wait), Row});
  }

  bool ending(TimePoint Now) const {
    return Stopped_ || Now >= EndsAt_ || Begun_ >= Plan_.MaxRequests_;
  }

  void tick(TimePoint Now) {
    while (!Due_.empty() && Due_.top().At_ <= Now && !ending(Due_.top().At_)) {
      const Due Next = Due_.top();
      Due_.pop();
      schedule(Next.Row_, Next.At_);
      begin(Next.Row_, Next.At_);
    }
    const bool Impatient = Now >= EndsAt_ + Plan_.Patience_;
    if (ending(Now) && (InProgress_ == 0 || Impatient))
      finish();
  }

  void begin(std::size_t Row, TimePoint Intended) {
    const auto Request = std::make_shared<Sending>(
        Sending{.Row_ = Row,
                .RequestId_ = Plan_.RunName_ + "-" + std::to_string(Row) + "-" +
                              std::to_string(++Begun_),
                .Intended_ = Intended,
                .Target_ = NextTarget_++ % Plan_.Targets_.size()});
    ++Rows_[Row].Result_.Sent_;
    ++InProgress_;
    send(Request);
  }

  void send(const std::shared_ptr<Sending> &Request) {
    ++Request->Sends_;
    client(*Request).request(
        message(*Request), SendTimeout,
        [Weak = weak_from_this(), Request](const net::HttpResult &Result) {
          if (const auto Self = Weak.lock())
            Self->ended(Request, Result);
        });
  }

  /// Each row has connections of its own, as callers do.
  net::HttpClient &client(const Sending &Request) const {
    return *Clients_[Request.Row_ * Plan_.Targets_.size() + Request.Target_];
  }

  net::HttpRequest message(const Sending &Request) const {
    const LoadRow &Row = Plan_.Rows_[Request.Row_];
    const bool Direct = Plan_.Target_ == LoadTarget::Upstream;
    net::HttpRequest Result{
        .Method_ = "POST",
        .Target_ = Direct ? "/run" : "/v1/requests",
        .Headers_ = {{"Dragonfly-Customer", Row.Customer_},
                     {"Dragonfly-Kind", Row.Kind_},
                     {Direct ? "Dragonfly-Request-Id" : "Idempotency-Key",
                      Request.RequestId_}},
        .Body_ = makeBody(Request.RequestId_, Row.BodyBytes_)};
    if (Row.Deadline_ > Duration::zero())
      Result.Headers_.push_back(
          {"Dragonfly-Deadline-Ms",
           std::to_string(
               std::chrono::floor<std::chrono::milliseconds>(Row.Deadline_)
                   .count())});
    return Result;
  }

  /// A request without an answer is sent again under its id, elsewhere.
  void ended(const std::shared_ptr<Sending> &Request,
             const net::HttpResult &Result) {
    RowState &Row = Rows_[Request->Row_];
    if (Result.Status_ != net::CallStatus::Answered) {
      if (Request->Sends_ < Plan_.MaxSends_) {
        Request->Target_ = (Request->Target_ + 1) % Plan_.Targets_.size();
        send(Request);
        return;
      }
      ++Row.Result_.Lost_;
    } else {
      count(*Request, Result.Response_, Row);
    }
    --InProgress_;
    const TimePoint Now = Clock::now();
    if (Plan_.Rows_[Request->Row_].RatePerSecond_ <= 0 && !ending(Now))
      begin(Request->Row_, Now);
  }

  void count(const Sending &Request, const net::HttpResponse &Response,
             RowState &Row) {
    const std::string_view Told = Response.header("Dragonfly-Outcome");
    const bool Direct = Plan_.Target_ == LoadTarget::Upstream;
    if (Told == "completed" || (Direct && Response.Status_ == 200)) {
      ++Row.Result_.Completed_;
      if (!ownAnswer(Response.Body_, Request.RequestId_))
        ++Row.Result_.Mismatched_;
      Row.Latencies_.push_back(Clock::now() - Request.Intended_);
    } else if (Told == "refused-not-run") {
      ++Row.Result_.Refused_;
    } else {
      ++Row.Result_.Unknown_;
    }
  }

  void finish() {
    Ticks_.cancel();
    std::vector<LoadResult> Results;
    for (RowState &Row : Rows_) {
      std::ranges::sort(Row.Latencies_);
      LoadResult &Result = Row.Result_;
      Result.P50_ = quantile(Row.Latencies_, 0.5);
      Result.P99_ = quantile(Row.Latencies_, 0.99);
      Result.Max_ = quantile(Row.Latencies_, 1);
      Result.Lost_ =
          Result.Sent_ - Result.Completed_ - Result.Refused_ - Result.Unknown_;
      Results.push_back(Result);
    }
    if (const auto OnDone = std::exchange(OnDone_, nullptr))
      OnDone(std::move(Results));
  }

  net::EventLoop &Loop_;
  LoadPlan Plan_;
  std::function<void(std::vector<LoadResult>)> OnDone_;
  RandomEngine Random_;
  TimePoint EndsAt_;
  std::vector<std::unique_ptr<net::HttpClient>> Clients_;
  std::vector<RowState> Rows_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> Due_;
  net::Timer Ticks_;
  std::uint64_t Begun_ = 0;
  std::uint64_t InProgress_ = 0;
  std::size_t NextTarget_ = 0;
  bool Stopped_ = false;
};

LoadGenerator::LoadGenerator(
    net::EventLoop &Loop, LoadPlan Plan,
    std::function<void(std::vector<LoadResult>)> OnDone)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Plan), std::move(OnDone))) {
  Impl_->start();
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::stop() { Impl_->Stopped_ = true; }

} // namespace dragonfly::load
