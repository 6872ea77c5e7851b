/// What the soak's operator sends and reads back.
#include "soak/Soak.h"

#include <boost/json.hpp>

#include <utility>

namespace dragonfly::soak {
namespace {

boost::json::object route(const std::string &Name) {
  return {{"Name", Name},
          {"Host", "a.example"},
          {"PathPrefix", "/" + Name + "/"},
          {"Kind", "unsafe"},
          {"TimeoutMs", 3000},
          {"TargetLatencyMs", 250},
          {"Priority", 0},
          {"Service", "sorting"},
          {"MaxAttempts", MaxTaskAttempts},
          {"SlackFactor", 2.0}};
}

} // namespace

std::string Soak::configuration(std::uint64_t Version, bool HasOther) {
  boost::json::array Routes{route("checks")};
  if (HasOther)
    Routes.push_back(route("other"));
  return boost::json::serialize(boost::json::object{
      {"Version", Version},
      {"Routes", Routes},
      {"Services",
       boost::json::array{boost::json::object{{"Name", "sorting"},
                                              {"HealthPath", "/healthz"},
                                              {"MaxConnections", 64},
                                              {"Protocol", "h1"},
                                              {"Tls", false},
                                              {"AdmissionCheck", false},
                                              {"Standby", false}}}},
      {"Limits", boost::json::object{{"MaxHeaderBytes", 16384},
                                     {"MaxBodyBytes", 262144},
                                     {"HeaderTimeoutMs", 3000},
                                     {"IdleTimeoutMs", 15000}}}});
}

void Soak::changeConfiguration() {
  const std::uint64_t Version = NextVersion_;
  NextVersion_ += 1 + pick(3);
  const bool HasOther = !Faulting_ || pick(2) == 0;
  putConfiguration(Version, configuration(Version, HasOther), 0);
  sendInvalidConfigurations();
}

void Soak::putConfiguration(std::uint64_t Version, const std::string &Body,
                            int Attempt) {
  Operators_[pick(Operators_.size())]->request(
      request("PUT", "/v1/config", Body), CallTimeout,
      [this, Version, Body, Attempt](const net::HttpResult &Result) {
        if (Result.Status_ == net::CallStatus::Answered &&
            Result.Response_.Status_ == 200) {
          Seen_.configurationAcked(Version);
          readConfiguration();
        } else if (Attempt < MaxAttempts) {
          later(RetryDelay, [this, Version, Body, Attempt] {
            putConfiguration(Version, Body, Attempt + 1);
          });
        }
      });
}

void Soak::readConfiguration() {
  Operators_[pick(Operators_.size())]->request(
      request("GET", "/v1/config"), CallTimeout,
      [this](const net::HttpResult &Result) {
        boost::system::error_code Fault;
        const boost::json::value Body =
            boost::json::parse(Result.Response_.Body_, Fault);
        if (Result.Status_ == net::CallStatus::Answered &&
            Result.Response_.Status_ == 200 && !Fault)
          Seen_.configurationRead(
              Body.at("Version").to_number<std::uint64_t>());
      });
}

} // namespace dragonfly::soak
