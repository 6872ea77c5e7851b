/// Prints JSON values as tables for people.
#ifndef DRAGONFLY_SRC_CTL_TABLE_H
#define DRAGONFLY_SRC_CTL_TABLE_H

#include <boost/json/value.hpp>

#include <string>

namespace dragonfly::ctl {

/// Fields come one a line, lists of objects as tables with a row each.
std::string formatTable(const boost::json::value &Value);

} // namespace dragonfly::ctl

#endif // DRAGONFLY_SRC_CTL_TABLE_H
