#include "dragonfly/control/OperatorInterface.h"
#include "control/ServiceCluster.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::control;
using namespace std::chrono_literals;

namespace {

net::HttpResponse call(ServiceCluster &Cluster, std::size_t Replica,
                       const std::string &Method, const std::string &Target,
                       const std::string &Body = {}) {
  OperatorInterface Operators(Cluster.node(Replica));
  std::optional<net::HttpResponse> Answer;
  Operators.handle({.Method_ = Method, .Target_ = Target, .Body_ = Body},
                   [&](net::HttpResponse Response) { Answer = Response; });
  Cluster.run(1s);
  return Answer.value();
}

/// One call and what its answer must say.
struct OperatorCall {
  const char *Method_;
  const char *Target_;
  const char *Body_;
  std::uint16_t Status_;
  const char *Holds_;
};

const std::string Plans = "/operator/v1/lists/plans";

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

TEST_CASE("operators' calls are answered as the table says",
          "[control][operators]") {
  ServiceCluster Cluster;
  Cluster.setValidator(
      [](settings::ListName, const std::string &Content, const std::string &) {
        return Content.find("bad") == std::string::npos
                   ? std::vector<settings::JsonFault>()
                   : std::vector<settings::JsonFault>{{"/x", "good", "bad"}};
      });
  const std::size_t Leader = Cluster.leader();
  for (const OperatorCall &Each : Calls) {
    INFO(Each.Method_ << " " << Each.Target_ << " " << Each.Body_);
    const net::HttpResponse Answer =
        call(Cluster, Leader, Each.Method_, Each.Target_, Each.Body_);
    INFO(Answer.Body_);
    CHECK(Answer.Status_ == Each.Status_);
    CHECK(Answer.Body_.find(Each.Holds_) != std::string::npos);
    CHECK((Answer.ContentType_ == "application/problem+json") ==
          (Each.Status_ >= 400));
  }
}

TEST_CASE("a follower points operators to the leader", "[control][operators]") {
  ServiceCluster Cluster;
  const std::size_t Leader = Cluster.leader();
  Cluster.run(1s);
  const std::size_t Follower = (Leader + 1) % 3;
  const net::HttpResponse Answer = call(Cluster, Follower, "GET", Plans);
  CHECK(Answer.Status_ == 307);
  CHECK(Answer.header("Location") ==
        "http://127.0.2." + std::to_string(Leader + 1) + ":7001" + Plans);
  CHECK(call(Cluster, Follower, "GET", "/operator/v1/status").Status_ == 200);
}

TEST_CASE("without a quorum operators are told to come back or to resend",
          "[control][operators]") {
  ServiceCluster Cluster;
  const std::size_t Leader = Cluster.leader();
  Cluster.isolate(Leader);
  const net::HttpResponse Unknown =
      call(Cluster, Leader, "PUT", Plans,
           R"({"expected_version":1,"change_id":"a","content":{"plans":[]}})");
  CHECK(Unknown.Status_ == 504);
  const net::HttpResponse Refused = call(Cluster, Leader, "GET", Plans);
  CHECK(Refused.Status_ == 503);
  CHECK(Refused.header("Retry-After") == "1");
}
