/// What each command of dragonflyctl works with.
#ifndef DRAGONFLY_SRC_CTL_CONTEXT_H
#define DRAGONFLY_SRC_CTL_CONTEXT_H

#include "dragonfly/ctl/Ctl.h"
#include "dragonfly/settings/ReadSettings.h"

#include <boost/json/value.hpp>

#include <optional>

namespace dragonfly::ctl {

struct Context {
  net::EventLoop &Loop_;
  const CtlOptions &Options_;
  ControlClient &Control_;
  std::ostream &Out_;
  std::ostream &Err_;
};

/// Arguments after the command's own words.
using Operands = std::vector<std::string>;

/// Prints \p Value as the options ask.
void print(const Context &With, const boost::json::value &Value);

/// Reports a call that was not answered with 200, and returns its exit code.
CtlExit reportFailure(const Context &With, const ControlAnswer &Answer);

/// Prints \p Faults to the error stream, or as JSON where asked to.
CtlExit reportFaults(const Context &With,
                     const std::vector<settings::JsonFault> &Faults);

/// Reads control at \p Target; reports where that fails.
std::optional<boost::json::value>
readControl(const Context &With, const std::string &Target, CtlExit &Exit);

/// Returns a whole file, or nothing where it cannot be read.
std::optional<std::string> readFile(const std::string &Name);

/// Parses JSON that control sent or a file holds; null where it is none.
boost::json::value parseJson(const std::string &Text);

CtlExit getList(const Context &With, const Operands &Rest);
CtlExit putList(const Context &With, const Operands &Rest);
CtlExit diffList(const Context &With, const Operands &Rest);
CtlExit checkList(const Context &With, const Operands &Rest);

} // namespace dragonfly::ctl

#endif // DRAGONFLY_SRC_CTL_CONTEXT_H
