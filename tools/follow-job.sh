#!/usr/bin/env bash
# Prints what all processes logged about one job, in order of time.
# usage: tools/follow-job.sh JOB FILE...   (files of log lines, JSON)
set -eu
[ $# -ge 2 ] || { echo "usage: $0 JOB FILE..." >&2; exit 2; }
job=$1; shift
# A run's name in an agent's line begins with the job's id.
grep -ahE "\"(job|run)\":\"$job" "$@" | sed 's/^[^{]*//' | sort -t'"' -k4,4 |
  sed -E 's/"(event|severity)":("[a-z]*"|[0-9]*),//g'
