#!/usr/bin/env bash
# Fails where a folder includes one that it may not depend on, or a public
# header pulls in a heavy library.
set -u
cd "$(dirname "$0")/.." || exit 1
bad=0
check() { # check FOLDER ALLOWED...
  local folder=$1; shift
  local allowed; allowed=$(IFS='|'; echo "$folder|$*" | tr ' ' '|')
  local found
  found=$(grep -rnE '#include "dragonfly/' "include/dragonfly/$folder" "src/$folder" 2>/dev/null |
    grep -vE "#include \"dragonfly/($allowed)/")
  # Another folder's internals are closed to all, but for base's.
  found+=$(grep -rnE '#include "[a-z]+/' "include/dragonfly/$folder" "src/$folder" 2>/dev/null |
    grep -vE "#include \"(dragonfly|base|$folder)/")
  if [ -n "$found" ]; then echo "layer violation in $folder:"; echo "$found"; bad=1; fi
}
check base
check decide base
check consensus base
check jobs base
check wire base jobs
check settings base
check net base decide wire jobs
check link base settings wire net decide jobs
check entry base settings wire net decide link jobs
check control base settings wire net decide consensus jobs link
check ctl base settings net
check agent base settings wire net decide link jobs
heavy=$(grep -rnE '#include [<"](boost/(asio|beast)|spdlog|cereal|absl)' include)
if [ -n "$heavy" ]; then echo "heavy include in a public header:"; echo "$heavy"; bad=1; fi
pure=$(grep -rnE '#include [<"]boost/(asio|beast)' src/decide src/consensus 2>/dev/null)
if [ -n "$pure" ]; then echo "sockets in pure code:"; echo "$pure"; bad=1; fi
# Only daemons, tests and the folder itself know the users' platform.
outside=$(grep -rnE --include='*.h' --include='*.cpp' '#include "platform/' include src bench tools 2>/dev/null)
if [ -n "$outside" ]; then echo "platform included outside daemons and tests:"; echo "$outside"; bad=1; fi
words=$(grep -rnE '"(FencingToken|DeadlineMs|LastSeen|PathPrefix|DependsOn|Checkpointing|LongRunning|EstimateMs|TargetMs|AntiAffinity|MayMiss|SlackFactor|HeartbeatAddr|Bind\.[A-Z][a-z]*)"' include src daemons bench 2>/dev/null)
if [ -n "$words" ]; then echo "field names of the platform outside platform/:"; echo "$words"; bad=1; fi
exit $bad
