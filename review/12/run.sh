#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
temporary=$(mktemp -d) || exit 2
cd "$root" || exit 2
timeout -s KILL 115 target/review-3/standin-3 crashes-under-a-gang "$folder" "$temporary" target/release/kingcupwinchd
code=$?
if [ "$code" -gt 2 ] && [ -f "$temporary/pids" ]; then
    # The stand-in was ended before it could end what it had started.
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$temporary/pids"
fi
rm -rf "$temporary"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
