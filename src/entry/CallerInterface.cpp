#include "dragonfly/entry/CallerInterface.h"

#include "dragonfly/base/Histogram.h"
#include "dragonfly/entry/Gateway.h"
#include "entry/Responses.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <utility>

namespace dragonfly::entry {
namespace {

constexpr std::string_view RequestsPath = "/v1/requests";
/// Longest customer name and request id, in bytes.
constexpr std::size_t MaxNameBytes = 128;
constexpr std::int64_t MaxDeadlineMs = 7LL * 24 * 3600 * 1000;
/// Bytes that a follower of a stream may leave unread.
constexpr std::size_t MaxUnreadBytes = 1U << 20U;
/// How long control may take to tell of a request.
constexpr Duration QueryTimeout = std::chrono::seconds(2);

bool validName(std::string_view Name) {
  constexpr std::string_view Marks = "-._:~";
  return !Name.empty() && Name.size() <= MaxNameBytes &&
         std::ranges::all_of(Name, [Marks](unsigned char Letter) {
           return std::isalnum(Letter) != 0 ||
                  Marks.find(static_cast<char>(Letter)) !=
                      std::string_view::npos;
         });
}

/// Parses the deadline header; nothing where it is no number in range.
std::optional<Duration> parseDeadline(std::string_view Text) {
  std::int64_t Value = 0;
  const auto [End, Fault] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Fault != std::errc() || End != Text.data() + Text.size() || Value <= 0 ||
      Value > MaxDeadlineMs)
    return std::nullopt;
  return std::chrono::milliseconds(Value);
}

net::HttpResponse badRequest(std::string_view Type) {
  return problem(400, Type, Outcome::RefusedNotRun);
}

net::HttpResponse refused(Reason Why) {
  return toResponse({.Outcome_ = Outcome::RefusedNotRun, .Reason_ = Why});
}

net::HttpResponse accepted(const std::string &RequestId) {
  return {
      .Status_ = 202,
      .Headers_ = {{"Location", std::string(RequestsPath) + "/" + RequestId},
                   {"Retry-After", "1"}},
      .Body_ = R"({"state":"in-progress"})"};
}

net::HttpResponse taskResponse(const net::CallResult &Result,
                               const std::string &RequestId) {
  const auto *Reply = std::get_if<wire::TaskReply>(&Result.Answer_);
  if (Result.Status_ != net::CallStatus::Answered || Reply == nullptr)
    return toResponse(
        {.Outcome_ = Outcome::Unknown, .Reason_ = Reason::NoQuorum});
  if (!Reply->Known_)
    return problem(404, "unknown-request", Outcome::Unknown);
  const bool Ended = Reply->State_ >= wire::TaskState::Finished;
  if (!Ended)
    return accepted(RequestId);
  return toResponse({.Outcome_ = Reply->Outcome_,
                     .Reason_ = Reply->Reason_,
                     .Status_ = Reply->Status_,
                     .Body_ = Reply->Body_});
}

/// One HTTP response that may turn out to be a stream.
class Responder {
public:
  Responder(net::HttpReplier Replier, std::string RequestId)
      : Replier_(std::move(Replier)), RequestId_(std::move(RequestId)) {}

  void answer(const Answer &End) {
    if (!Begun_)
      Replier_.reply(toResponse(End));
    else if (End.Outcome_ == Outcome::Completed)
      Replier_.endChunks();
    else
      Replier_.abort();
  }

  /// False, with the connection closed, where the caller leaves too much.
  bool part(std::string_view Bytes) {
    if (!std::exchange(Begun_, true))
      Replier_.beginChunks({.Headers_ = {{"Dragonfly-Outcome", "completed"}}});
    Replier_.chunk(Bytes);
    if (Replier_.queuedBytes() <= MaxUnreadBytes)
      return true;
    Replier_.abort();
    return false;
  }

  void accept() { Replier_.reply(accepted(RequestId_)); }

private:
  net::HttpReplier Replier_;
  std::string RequestId_;
  bool Begun_ = false;
};

/// Moves the headers and body of \p Request to \p Sent; returns the response
/// to a request that is malformed.
std::optional<net::HttpResponse> readRequest(net::HttpRequest &Request,
                                             CallerRequest &Sent) {
  Sent = {
      .Key_ = {.Customer_ = std::string(Request.header("Dragonfly-Customer")),
               .RequestId_ = std::string(Request.header("Idempotency-Key"))},
      .Kind_ = std::string(Request.header("Dragonfly-Kind")),
      .Body_ = std::move(Request.Body_),
      .Detached_ = Request.header("Prefer") == "respond-async"};
  if (Sent.Key_.RequestId_.empty())
    return refused(Reason::MissingRequestId);
  if (!validName(Sent.Key_.RequestId_))
    return badRequest("malformed-request-id");
  const std::string_view Deadline = Request.header("Dragonfly-Deadline-Ms");
  if (Deadline.empty())
    return std::nullopt;
  Sent.TimeLeft_ = parseDeadline(Deadline);
  if (!Sent.TimeLeft_)
    return badRequest("malformed-deadline");
  return std::nullopt;
}

} // namespace

struct CallerInterface::Impl
    : std::enable_shared_from_this<CallerInterface::Impl> {
  Impl(Gateway &Requests, const HistogramTable &Latencies,
       CallerInterfaceOptions Options)
      : Requests_(Requests), Latencies_(Latencies),
        Options_(std::move(Options)) {}

  void handle(net::HttpRequest Request, const net::HttpReplier &Replier) {
    const std::string_view Path = Request.Target_;
    if (Path == RequestsPath && Request.Method_ == "POST")
      submit(std::move(Request), Replier);
    else if (Path.starts_with(RequestsPath) &&
             Path.substr(RequestsPath.size()).starts_with('/'))
      handleOne(Request, Path.substr(RequestsPath.size() + 1), Replier);
    else if (Request.Method_ != "GET")
      Replier.reply(problem(405, "method-not-allowed", Outcome::RefusedNotRun));
    else
      Replier.reply(get(Path));
  }

  net::HttpResponse get(std::string_view Path) const {
    if (Path == "/healthz")
      return {.Body_ = R"({"healthy":true})"};
    if (Path == "/readyz")
      return {.Status_ =
                  Options_.Ready_() ? std::uint16_t{200} : std::uint16_t{503},
              .Body_ = Options_.Ready_() ? R"({"ready":true})"
                                         : R"({"ready":false})"};
    if (Path == "/v1/histograms")
      return {.Body_ = printHistograms(Latencies_)};
    return problem(404, "unknown-path", Outcome::RefusedNotRun);
  }

  void submit(net::HttpRequest Request, const net::HttpReplier &Replier) {
    CallerRequest Sent;
    if (const auto Fault = readRequest(Request, Sent)) {
      Replier.reply(*Fault);
      return;
    }
    const auto Response =
        std::make_shared<Responder>(Replier, Sent.Key_.RequestId_);
    AnswerHooks Hooks{
        .OnAnswer_ =
            [Response](const AnswerPtr &End) { Response->answer(*End); },
        .OnPart_ =
            [Response](std::string_view Bytes) {
              return Response->part(Bytes);
            }};
    if (Sent.Detached_)
      Hooks.OnAccepted_ = [Response] { Response->accept(); };
    const WaiterId Added =
        Requests_.submit(Clock::now(), std::move(Sent), std::move(Hooks));
    if (Added != 0)
      Replier.onGone([Weak = weak_from_this(), Added] {
        if (const auto Self = Weak.lock())
          Self->Requests_.callerGone(Clock::now(), Added);
      });
  }

  /// Asks about one request, or cancels it.
  void handleOne(const net::HttpRequest &Request, std::string_view RequestId,
                 const net::HttpReplier &Replier) {
    const wire::RequestKey Key{
        std::string(Request.header("Dragonfly-Customer")),
        std::string(RequestId)};
    const bool Cancel = Request.Method_ == "DELETE";
    if (!Cancel && Request.Method_ != "GET") {
      Replier.reply(problem(405, "method-not-allowed", Outcome::RefusedNotRun));
      return;
    }
    if (Cancel)
      Requests_.cancel(Clock::now(), Key);
    const RequestStatus Status = Requests_.status(Key);
    if (Status.Answer_)
      Replier.reply(toResponse(*Status.Answer_));
    else if (Status.Known_)
      Replier.reply(accepted(Key.RequestId_));
    else
      askControl(Cancel ? wire::Message(wire::CancelTask{Key})
                        : wire::Message(wire::QueryTask{Key}),
                 Key.RequestId_, Replier);
  }

  void askControl(wire::Message Question, const std::string &RequestId,
                  const net::HttpReplier &Replier) {
    Options_.CallControl_(std::move(Question), QueryTimeout,
                          [RequestId, Replier](const net::CallResult &Result) {
                            Replier.reply(taskResponse(Result, RequestId));
                          });
  }

  Gateway &Requests_;
  const HistogramTable &Latencies_;
  CallerInterfaceOptions Options_;
};

CallerInterface::CallerInterface(Gateway &Requests,
                                 const HistogramTable &Latencies,
                                 CallerInterfaceOptions Options)
    : Impl_(std::make_shared<Impl>(Requests, Latencies, std::move(Options))) {}

CallerInterface::~CallerInterface() = default;

void CallerInterface::handle(net::HttpRequest Request,
                             const net::HttpReplier &Replier) {
  Impl_->handle(std::move(Request), Replier);
}

} // namespace dragonfly::entry
