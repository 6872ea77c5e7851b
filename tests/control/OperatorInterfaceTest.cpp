#include "dragonfly/control/OperatorInterface.h"
#include "control/ServiceCluster.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::control;
using namespace std::chrono_literals;

namespace {

/// Sends a request to one replica and returns its response after one second of
/// simulated time.
net::HttpResponse sendRequest(ServiceCluster &Cluster, std::size_t Replica,
                              const std::string &Method,
                              const std::string &Target,
                              const std::string &Body = {}) {
  OperatorInterface Operators(Cluster.node(Replica));
  std::optional<net::HttpResponse> Answer;
  Operators.handle({.Method_ = Method, .Target_ = Target, .Body_ = Body},
                   [&](net::HttpResponse Response) { Answer = Response; });
  Cluster.run(1s);
  return Answer.value();
}

/// A request with the status and a part of the body expected in its response.
struct OperatorCall {
  const char *Method_;
  const char *Target_;
  const char *Body_;
  std::uint16_t ExpectedStatus_;
  const char *ExpectedText_;
};

const std::string PlansPath = "/operator/v1/lists/plans";

const std::vector<OperatorCall> Calls{
    {"GET", "/operator/v1/lists/plans", "", 200, R"("version":1)"},
    {"PUT", "/operator/v1/lists/plans",
     R"({"expected_version":1,"change_id":"a","content":{"plans":[]}})", 200,
     R"({"version":2,"change_id":"a"})"},
    {"PUT", "/operator/v1/lists/plans",
     R"({"expected_version":1,"change_id":"a","content":{"plans":[]}})", 200,
     R"({"version":2,"change_id":"a"})"},
    {"PUT", "/operator/v1/lists/plans",
     R"({"expected_version":1,"change_id":"b","content":{"plans":[]}})", 409,
     R"("current_version":2,"type":"version-conflict")"},
    {"PUT", "/operator/v1/lists/plans",
     R"({"expected_version":2,"change_id":"a","content":{"plans":[1]}})", 409,
     "change-id-reused"},
    {"PUT", "/operator/v1/lists/plans",
     R"({"expected_version":2,"change_id":"c","content":{"bad":1}})", 422,
     R"("path":"/x")"},
    {"PUT", "/operator/v1/lists/plans",
     R"({"expected_version":-1,"content":[]})", 400, R"("path":"/change_id")"},
    {"PUT", "/operator/v1/lists/plans", "{", 400, "bad-request"},
    {"PUT", "/operator/v1/lists/others", "{}", 405, "no-such-call"},
    {"GET", "/operator/v1/lists/plans", "", 200, R"("version":2)"},
    {"GET", "/operator/v1/status", "", 200, R"("role":"leader")"},
    {"GET", "/operator/v1/tasks", "", 200, R"({"tasks":[]})"},
    {"GET", "/operator/v1/counts", "", 200, R"({"counts":[]})"},
    {"GET", "/operator/v1/members", "", 200, R"("address":"127.0.2.3:7000")"},
    {"POST", "/operator/v1/members", R"({"action":"grow","id":3})", 400,
     R"("path":"/action")"},
    {"POST", "/operator/v1/members", R"({"action":"promote","id":9})", 409,
     "change-not-allowed"},
    {"POST", "/operator/v1/members", R"({"action":"remove","id":"9"})", 409,
     "change-not-allowed"},
    {"GET", "/nothing", "", 404, "no-such-call"},
};

} // namespace

TEST_CASE("operator calls return the expected status and body",
          "[control][operators]") {
  ServiceCluster Cluster;
  Cluster.setValidator(
      [](settings::ListName, const std::string &Content, const std::string &) {
        return Content.find("bad") == std::string::npos
                   ? std::vector<settings::JsonFault>()
                   : std::vector<settings::JsonFault>{{"/x", "good", "bad"}};
      });
  const std::size_t Leader = Cluster.leader();
  for (const OperatorCall &Call : Calls) {
    INFO(Call.Method_ << " " << Call.Target_ << " " << Call.Body_);
    const net::HttpResponse Answer =
        sendRequest(Cluster, Leader, Call.Method_, Call.Target_, Call.Body_);
    INFO(Answer.Body_);
    CHECK(Answer.Status_ == Call.ExpectedStatus_);
    CHECK(Answer.Body_.find(Call.ExpectedText_) != std::string::npos);
    CHECK((Answer.ContentType_ == "application/problem+json") ==
          (Call.ExpectedStatus_ >= 400));
  }
}

TEST_CASE(
    "a follower redirects operator calls to the leader but answers status",
    "[control][operators]") {
  ServiceCluster Cluster;
  const std::size_t Leader = Cluster.leader();
  Cluster.run(1s);
  const std::size_t Follower = (Leader + 1) % 3;
  const net::HttpResponse Answer =
      sendRequest(Cluster, Follower, "GET", PlansPath);
  CHECK(Answer.Status_ == 307);
  CHECK(Answer.header("Location") ==
        "http://127.0.2." + std::to_string(Leader + 1) + ":7001" + PlansPath);
  CHECK(sendRequest(Cluster, Follower, "GET", "/operator/v1/status").Status_ ==
        200);
}

TEST_CASE("a leader without a quorum answers 504 to a change and 503 to a read",
          "[control][operators]") {
  ServiceCluster Cluster;
  const std::size_t Leader = Cluster.leader();
  Cluster.isolate(Leader);
  const net::HttpResponse Unknown = sendRequest(
      Cluster, Leader, "PUT", PlansPath,
      R"({"expected_version":1,"change_id":"a","content":{"plans":[]}})");
  CHECK(Unknown.Status_ == 504);
  const net::HttpResponse Refused =
      sendRequest(Cluster, Leader, "GET", PlansPath);
  CHECK(Refused.Status_ == 503);
  CHECK(Refused.header("Retry-After") == "1");
}
