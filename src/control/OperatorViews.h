/// JSON documents that operators read.
#ifndef DRAGONFLY_SRC_CONTROL_OPERATORVIEWS_H
#define DRAGONFLY_SRC_CONTROL_OPERATORVIEWS_H

#include "dragonfly/net/HttpMessage.h"
#include "dragonfly/settings/Lists.h"
#include "dragonfly/settings/ReadSettings.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace dragonfly::control {

class ControlService;

net::HttpResponse documentOf(const boost::json::object &Content);
/// Returns a problem+json document; \p More holds further members.
net::HttpResponse problemOf(std::uint16_t Status, std::string_view Type,
                            boost::json::object More = {});
net::HttpResponse problemOf(std::uint16_t Status, std::string_view Type,
                            const std::vector<settings::JsonFault> &Faults);

net::HttpResponse viewList(const ControlService &Service,
                           settings::ListName Name);
net::HttpResponse viewStatus(const ControlService &Service);
net::HttpResponse viewTasks(const ControlService &Service);
net::HttpResponse viewCounts(const ControlService &Service);
net::HttpResponse viewMembers(const ControlService &Service);

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_OPERATORVIEWS_H
