#include "dragonfly/ctl/Ctl.h"

#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/HttpServer.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

using namespace dragonfly;
using namespace dragonfly::ctl;
using namespace std::chrono_literals;

namespace {

const std::string Plans =
    R"({"plans":[{"name":"small","processors":4,"memory_mib":8192,)"
    R"("accelerators":0,"concurrent_requests":16,"waiting_requests":64}]})";

const std::string Current =
    R"({"list":"plans","version":7,"content":)" + Plans + "}";

/// One scripted answer of a fake replica; status 0 closes the connection with
/// no answer.
struct Scripted {
  std::uint16_t Status_ = 200;
  std::string Body_;
  std::string Location_;
};

/// A control replica that answers from a script and records what it is asked.
class FakeControl {
public:
  explicit FakeControl(net::EventLoop &Loop)
      : Server_(Loop, {.Listen_ = {.Address_ = "127.0.0.1"},
                       .OnRequest_ = [this](net::HttpRequest Request,
                                            const net::HttpReplier &Replier) {
                         answer(std::move(Request), Replier);
                       }}) {}

  net::Endpoint endpoint() const { return Server_.endpoint(); }

  std::deque<Scripted> Script_;
  std::vector<net::HttpRequest> Requests_;

private:
  void answer(net::HttpRequest Request, const net::HttpReplier &Replier) {
    Requests_.push_back(std::move(Request));
    const Scripted Answer = Script_.empty() ? Scripted{} : Script_.front();
    if (!Script_.empty())
      Script_.pop_front();
    if (Answer.Status_ == 0) {
      Replier.beginChunks({});
      Replier.abort();
      return;
    }
    net::HttpResponse Response{.Status_ = Answer.Status_,
                               .Body_ = Answer.Body_};
    if (!Answer.Location_.empty())
      Response.Headers_.push_back({"Location", Answer.Location_});
    Replier.reply(Response);
  }

  net::HttpServer Server_;
};

/// Two fake replicas and the command against them.
struct Fixture {
  Fixture() {
    std::filesystem::create_directories(Folder_);
    Options_.Control_ = {.Control_ = {First_.endpoint(), Second_.endpoint()},
                         .RetryDelay_ = 0ms,
                         .MaxTries_ = 4};
    Options_.Json_ = true;
  }

  CtlExit run(const std::vector<std::string> &Arguments) {
    Out_.str("");
    Err_.str("");
    return runCtl(Loop_, Options_, Arguments, Out_, Err_);
  }

  std::string write(const std::string &Name, const std::string &Text) {
    const std::string Path = Folder_ + "/" + Name;
    std::ofstream(Path) << Text;
    return Path;
  }

  std::string Folder_ = std::string(DRAGONFLY_BINARY_DIR) + "/ctl-test";
  net::EventLoop Loop_;
  FakeControl First_{Loop_};
  FakeControl Second_{Loop_};
  CtlOptions Options_;
  std::ostringstream Out_;
  std::ostringstream Err_;
};

std::string field(const net::HttpRequest &Request, const std::string &Key) {
  const auto Body = boost::json::parse(Request.Body_);
  return boost::json::serialize(Body.as_object().at(Key));
}

struct EndCase {
  std::vector<Scripted> First_;
  CtlExit Exit_;
  std::size_t Asked_;
};

} // namespace

TEST_CASE("get prints the list and its version", "[ctl][lists]") {
  Fixture Under;
  Under.First_.Script_ = {{200, Current, ""}};
  REQUIRE(Under.run({"lists", "get", "plans"}) == CtlExit::Ok);
  CHECK(Under.Out_.str() == Current + "\n");
  Under.Options_.Json_ = false;
  Under.First_.Script_ = {{200, Current, ""}};
  REQUIRE(Under.run({"lists", "get", "plans"}) == CtlExit::Ok);
  CHECK(Under.Out_.str().find("version: 7\n") != std::string::npos);
  CHECK(Under.Out_.str().find("small") != std::string::npos);
}

TEST_CASE("put follows a redirect with the same change id", "[ctl][lists]") {
  Fixture Under;
  Under.First_.Script_ = {{307, "",
                           "http://" + Under.Second_.endpoint().text() +
                               "/operator/v1/lists/plans"}};
  Under.Second_.Script_ = {{200, R"({"version":8,"change_id":"c"})", ""}};
  // What get printed can be put back as it is.
  const std::string File = Under.write("plans.json", Current);
  REQUIRE(Under.run({"lists", "put", "plans", File}) == CtlExit::Ok);
  REQUIRE(Under.First_.Requests_.size() == 1);
  REQUIRE(Under.Second_.Requests_.size() == 1);
  const net::HttpRequest &Sent = Under.Second_.Requests_[0];
  CHECK(Sent.Method_ == "PUT");
  CHECK(Sent.Body_ == Under.First_.Requests_[0].Body_);
  CHECK(field(Sent, "expected_version") == "7");
  CHECK(field(Sent, "content") == Plans);
  CHECK(Under.Err_.str().find("change id: ctl-") != std::string::npos);
}

TEST_CASE("a lost answer is asked for again with the same change id",
          "[ctl][lists]") {
  Fixture Under;
  Under.First_.Script_ = {{0, "", ""}};
  Under.Second_.Script_ = {{200, R"({"version":8})", ""}};
  Under.Options_.ChangeId_ = "mine";
  const std::string File = Under.write("plans.json", Current);
  REQUIRE(Under.run({"lists", "put", "plans", File}) == CtlExit::Ok);
  REQUIRE(Under.Second_.Requests_.size() == 1);
  CHECK(field(Under.First_.Requests_[0], "change_id") == "\"mine\"");
  CHECK(field(Under.Second_.Requests_[0], "change_id") == "\"mine\"");
}

TEST_CASE("each end of a put has its own exit code", "[ctl][lists]") {
  const auto Case = GENERATE(values<EndCase>({
      {{{409, R"({"type":"version-conflict","current_version":9})", ""}},
       CtlExit::VersionConflict,
       1},
      {{{422, R"({"type":"list-rejected","faults":[]})", ""}},
       CtlExit::ListRejected,
       1},
      {{{400, R"({"type":"bad"})", ""}}, CtlExit::Refused, 1},
      {{{409, R"({"type":"change-not-allowed"})", ""}}, CtlExit::Refused, 1},
      {{{503, "", ""}, {503, "", ""}, {503, "", ""}},
       CtlExit::OutcomeUnknown,
       3},
      {{{0, "", ""}, {0, "", ""}, {0, "", ""}}, CtlExit::OutcomeUnknown, 3},
      {{{503, "", ""}, {200, R"({"version":8})", ""}}, CtlExit::Ok, 2},
  }));
  Fixture Under;
  Under.Options_.Control_.Control_ = {Under.First_.endpoint()};
  Under.Options_.Control_.MaxTries_ = 3;
  Under.First_.Script_ = {Case.First_.begin(), Case.First_.end()};
  const std::string File = Under.write("plans.json", Current);
  CHECK(Under.run({"lists", "put", "plans", File}) == Case.Exit_);
  CHECK(Under.First_.Requests_.size() == Case.Asked_);
}

TEST_CASE("no replica that listens is unavailable, not unknown",
          "[ctl][lists]") {
  Fixture Under;
  // Nothing can listen on port 1 without privileges in these tests.
  Under.Options_.Control_.Control_ = {{.Address_ = "127.0.0.1", .Port_ = 1}};
  Under.Options_.Control_.MaxTries_ = 2;
  const std::string File = Under.write("plans.json", Current);
  CHECK(Under.run({"lists", "put", "plans", File}) == CtlExit::Unavailable);
  CHECK(Under.run({"status"}) == CtlExit::Unavailable);
}

TEST_CASE("a faulty file is refused before control is asked", "[ctl][lists]") {
  Fixture Under;
  const std::string File =
      Under.write("plans.json", R"({"plans":[{"name":""}]})");
  CHECK(Under.run({"lists", "put", "plans", File}) == CtlExit::ListRejected);
  CHECK(Under.First_.Requests_.empty());
  CHECK(Under.Out_.str().find("/plans/0/name") != std::string::npos);
  CHECK(Under.run({"lists", "put", "plans", "no-such-file"}) ==
        CtlExit::BadUsage);
  const std::string Bare = Under.write("bare.json", Plans);
  CHECK(Under.run({"lists", "put", "plans", Bare}) == CtlExit::BadUsage);
  CHECK(Under.Err_.str().find("--version") != std::string::npos);
}

TEST_CASE("check works offline and across both lists", "[ctl][lists]") {
  Fixture Under;
  Under.Options_.Control_.Control_.clear();
  const std::string Good = Under.write("plans.json", Plans);
  const std::string Purchases = Under.write(
      "purchases.json", R"({"purchases":[{"customer":"a","plan":"big"}]})");
  CHECK(Under.run({"lists", "check", "plans", Good}) == CtlExit::Ok);
  CHECK(Under.run({"lists", "check", "purchases", Purchases}) == CtlExit::Ok);
  Under.Options_.PlansFile_ = Good;
  CHECK(Under.run({"lists", "check", "purchases", Purchases}) ==
        CtlExit::ListRejected);
  CHECK(Under.Out_.str().find("/purchases/0/plan") != std::string::npos);
}

TEST_CASE("diff names what was added, removed and changed", "[ctl][lists]") {
  Fixture Under;
  std::string Changed = Plans;
  Changed.replace(Changed.find("8192"), 4, "4096");
  Under.First_.Script_ = {{200, Current, ""}};
  CHECK(Under.run({"lists", "diff", "plans",
                   Under.write("same.json", Plans)}) == CtlExit::Ok);
  Under.First_.Script_ = {{200, Current, ""}};
  CHECK(Under.run({"lists", "diff", "plans",
                   Under.write("changed.json", Changed)}) == CtlExit::Differs);
  CHECK(Under.Out_.str().find("\"change\":\"changed\"") != std::string::npos);
  Under.First_.Script_ = {{200, Current, ""}};
  CHECK(Under.run({"lists", "diff", "plans",
                   Under.write("empty.json", R"({"plans":[]})")}) ==
        CtlExit::Differs);
  CHECK(Under.Out_.str().find("\"change\":\"removed\"") != std::string::npos);
}

TEST_CASE("tables are printed for people", "[ctl][tables]") {
  Fixture Under;
  Under.Options_.Json_ = false;
  Under.First_.Script_ = {
      {200,
       R"({"leader":2,"upstreams":[{"name":"agent-1","slots":8},{"name":"a"}]})",
       ""}};
  REQUIRE(Under.run({"status"}) == CtlExit::Ok);
  CHECK(Under.Out_.str() == "leader: 2\n\nupstreams\nname     slots\n"
                            "agent-1  8\na        -\n");
}

TEST_CASE("members names the replica that it changes", "[ctl][members]") {
  Fixture Under;
  CHECK(Under.run({"members", "remove"}) == CtlExit::BadUsage);
  Under.Options_.MemberId_ = 3;
  Under.First_.Script_ = {{200, "{}", ""}};
  CHECK(Under.run({"members", "remove"}) == CtlExit::Ok);
  CHECK(field(Under.First_.Requests_[0], "action") == "\"remove\"");
  CHECK(field(Under.First_.Requests_[0], "id") == "3");
}

TEST_CASE("unknown commands are bad usage", "[ctl]") {
  Fixture Under;
  CHECK(Under.run({}) == CtlExit::BadUsage);
  CHECK(Under.run({"lists", "drop", "plans"}) == CtlExit::BadUsage);
  CHECK(Under.run({"lists", "get", "people"}) == CtlExit::BadUsage);
  CHECK(Under.run({"status", "now"}) == CtlExit::BadUsage);
  CHECK(Under.run({"events"}) == CtlExit::Ok);
}
