#include "control/OperatorViews.h"

#include "dragonfly/control/ControlService.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <string>

namespace dragonfly {

template <> struct EnumTable<wire::TaskState> {
  static constexpr std::array<EnumName<wire::TaskState>, 8> Rows{{
      {wire::TaskState::Waiting, "waiting"},
      {wire::TaskState::Placed, "placed"},
      {wire::TaskState::Running, "running"},
      {wire::TaskState::Evicted, "evicted"},
      {wire::TaskState::Finished, "finished"},
      {wire::TaskState::Failed, "failed"},
      {wire::TaskState::Cancelled, "cancelled"},
      {wire::TaskState::Parked, "parked"},
  }};
};

} // namespace dragonfly

namespace dragonfly::control {
namespace {

namespace json = boost::json;

json::string toJsonString(std::string_view Value) {
  return json::string(Value.data(), Value.size());
}

json::object heartbeatToJson(const HeartbeatRecord &Row) {
  return {
      {"name", Row.LastHeartbeat_.Name_},
      {"incarnation", std::to_string(Row.LastHeartbeat_.Incarnation_.Value_)},
      {"availability_zone", Row.LastHeartbeat_.AvailabilityZone_},
      {"rack", Row.LastHeartbeat_.Rack_},
      {"address", Row.LastHeartbeat_.Address_},
      {"draining", Row.LastHeartbeat_.Draining_},
      {"plans", Row.LastHeartbeat_.Plans_.Value_},
      {"purchases", Row.LastHeartbeat_.Purchases_.Value_}};
}

json::object upstreamToJson(const HeartbeatRecord &Row) {
  json::object Result = heartbeatToJson(Row);
  const wire::VmStatus &Vm = Row.LastHeartbeat_.Vm_;
  Result["slots"] = Vm.Slots_;
  Result["free_slots"] = Vm.FreeSlots_;
  Result["running_tasks"] = Vm.RunningTasks_;
  Result["milli_processors"] = Vm.Capacity_.MilliProcessors_;
  Result["committed_milli_processors"] = Vm.Committed_.MilliProcessors_;
  Result["memory_mib"] = Vm.Capacity_.MemoryMib_;
  Result["committed_memory_mib"] = Vm.Committed_.MemoryMib_;
  return Result;
}

json::object taskToJson(const TaskRecord &Task) {
  return {{"task", Task.Task_.Value_},
          {"customer", Task.Key_.Customer_},
          {"request_id", Task.Key_.RequestId_},
          {"kind", Task.Kind_},
          {"state", toJsonString(enumName(Task.State_))},
          {"reason", toJsonString(enumName(Task.Reason_))},
          {"worker", Task.Worker_},
          {"epoch", Task.Epoch_.Value_},
          {"starts", Task.Starts_},
          {"evictions", Task.Evictions_}};
}

template <typename Rows, typename Function>
json::array toJsonArray(const Rows &Values, Function Convert) {
  json::array Result;
  for (const auto &Value : Values)
    Result.push_back(Convert(Value));
  return Result;
}

} // namespace

net::HttpResponse jsonResponse(const json::object &Content) {
  net::HttpResponse Response;
  Response.Body_ = json::serialize(Content);
  return Response;
}

net::HttpResponse problemResponse(std::uint16_t Status, std::string_view Type,
                                  json::object More) {
  More["type"] = toJsonString(Type);
  More["status"] = Status;
  net::HttpResponse Response;
  Response.Status_ = Status;
  Response.ContentType_ = "application/problem+json";
  Response.Body_ = json::serialize(More);
  return Response;
}

net::HttpResponse
problemResponse(std::uint16_t Status, std::string_view Type,
                const std::vector<settings::JsonFault> &Faults) {
  return problemResponse(
      Status, Type,
      {{"faults", toJsonArray(Faults, [](const settings::JsonFault &Fault) {
          return json::object{{"path", Fault.Path_},
                              {"expected", Fault.Expected_},
                              {"found", Fault.Found_}};
        })}});
}

net::HttpResponse viewList(const ControlService &Service,
                           settings::ListName Name) {
  const VersionedList &List = Service.state().lists().list(Name);
  return jsonResponse({{"list", toJsonString(enumName(Name))},
                       {"version", List.Version_.Value_},
                       {"content", json::parse(List.Content_)}});
}

net::HttpResponse viewStatus(const ControlService &Service) {
  const consensus::ReplicatedLog &Log = Service.log();
  const ListTable &Lists = Service.state().lists();
  const UpstreamTable &Upstreams = Service.upstreams();
  return jsonResponse(
      {{"replica_store", std::to_string(Log.store().Value_)},
       {"role", toJsonString(enumName(Log.role()))},
       {"serving", Service.serving()},
       {"leader", Log.leader().Value_},
       {"term", Log.term().Value_},
       {"commit_index", Log.commitIndex().Value_},
       {"applied_index", Log.appliedIndex().Value_},
       {"lists",
        {{"plans", Lists.list(settings::ListName::Plans).Version_.Value_},
         {"purchases",
          Lists.list(settings::ListName::Purchases).Version_.Value_}}},
       {"claims", Service.state().claims().size()},
       {"tasks", Service.state().tasks().rows().size()},
       {"entries", toJsonArray(Upstreams.entryRows(),
                               [](const auto &Row) {
                                 return heartbeatToJson(Row.second);
                               })},
       {"upstreams", toJsonArray(Upstreams.workers(), [](const auto &Row) {
          return upstreamToJson(Row.second);
        })}});
}

net::HttpResponse viewTasks(const ControlService &Service) {
  return jsonResponse({{"tasks", toJsonArray(Service.state().tasks().rows(),
                                             [](const auto &Row) {
                                               return taskToJson(Row.second);
                                             })}});
}

net::HttpResponse viewCounts(const ControlService &Service) {
  return jsonResponse(
      {{"counts",
        toJsonArray(Service.state().counts().rows(), [](const CountRow &Row) {
          const auto RequestCount = [&Row](Outcome Kind) {
            return Row.Requests_[static_cast<std::size_t>(Kind)];
          };
          return json::object{
              {"customer", Row.Customer_},
              {"kind", Row.Kind_},
              {"completed", RequestCount(Outcome::Completed)},
              {"refused_not_run", RequestCount(Outcome::RefusedNotRun)},
              {"unknown", RequestCount(Outcome::Unknown)},
              {"late", Row.Late_}};
        })}});
}

net::HttpResponse viewEvacuations(const ControlService &Service) {
  return jsonResponse(
      {{"evacuations",
        toJsonArray(Service.state().evacuations().zones(), [](const auto &Row) {
          return json::object{{"zone", Row.first},
                              {"evacuated", Row.second.Evacuated_},
                              {"revision", Row.second.Revision_}};
        })}});
}

net::HttpResponse viewMembers(const ControlService &Service) {
  return jsonResponse(
      {{"members",
        toJsonArray(Service.log().members(), [](const consensus::Member &Row) {
          return json::object{{"id", Row.Id_.Value_},
                              {"store", std::to_string(Row.Store_.Value_)},
                              {"voter", Row.Voter_},
                              {"address", Row.Address_}};
        })}});
}

} // namespace dragonfly::control
