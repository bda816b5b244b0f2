#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it does the
# same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
export REVIEW_PLATFORM=target/release/siskinstep-platform
REVIEW_TMP=$(mktemp -d) || exit 2
export REVIEW_TMP
pid=

# Ends, by their ids, the stand-in and the processes that it has not ended itself.
end() {
  [ -n "$pid" ] && kill -9 "$pid" 2>/dev/null
  if [ -s "$REVIEW_TMP/pids" ]; then
    while read -r id; do kill -9 "$id" 2>/dev/null; done < "$REVIEW_TMP/pids"
  fi
  rm -rf "$REVIEW_TMP"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
target/review/stand-in poison review/5/record.txt &
pid=$!
wait "$pid"
code=$?
pid=
exit "$code"
